package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"hollymast/internal/discovery"
	"hollymast/internal/platformtest"
)

// resendWindow is the time before a connection is closed within which a request may be sent that the client resends to another router.
const resendWindow = 50 * time.Millisecond

// steadyClient sends requests on one connection at a constant rate, regardless of the answers, until the connection is closed.
type steadyClient struct {
	mu       sync.Mutex
	sentAt   map[uint64]time.Time // by request number
	answers  map[uint64]int       // number of answers by request number
	served   int                  // successful answers
	closedAt time.Time
}

// encodeRequest returns a client's request.
func encodeRequest(number, ref, function uint64, class string, timeout time.Duration, body []byte) []byte {
	fields := map[string]string{"ref": fmt.Sprintf("%016x", ref), "allow": fmt.Sprint(timeout.Milliseconds()), "project": "acme",
		"lookup": fmt.Sprintf("%016x", function), "spec": "memory_mb:512;lanes:2"}
	text, err := msgpack.Marshal([]any{0, number, class, []any{fields, body}})
	if err != nil {
		panic(err) // can't happen for these types
	}
	return text
}

// sendSteadily sends requests, with a pause between them, until the router closes the connection or its process ends.
func sendSteadily(conn net.Conn, firstRef uint64, timeout, pause time.Duration) *steadyClient {
	c := &steadyClient{sentAt: map[uint64]time.Time{}, answers: map[uint64]int{}}
	var reader sync.WaitGroup
	reader.Go(func() { c.readAnswers(conn) })
	for number := uint64(1); ; number++ {
		text := encodeRequest(number, firstRef+number, 1+number%4, "again", timeout, []byte("body"))
		c.mu.Lock()
		closed := !c.closedAt.IsZero()
		if !closed {
			c.sentAt[number] = time.Now()
		}
		c.mu.Unlock()
		if _, err := conn.Write(text); closed || err != nil {
			break
		}
		time.Sleep(pause)
	}
	reader.Wait()
	conn.Close()
	return c
}

// readAnswers reads and counts answers until the connection is closed.
func (c *steadyClient) readAnswers(conn net.Conn) {
	answers := msgpack.NewDecoder(conn)
	for {
		answer, err := answers.DecodeSlice()
		c.mu.Lock()
		if err != nil {
			c.closedAt = time.Now()
			c.mu.Unlock()
			return
		}
		var number uint64
		fmt.Sscan(fmt.Sprint(answer[1]), &number)
		c.answers[number]++
		if answer[2] == nil {
			c.served++
		}
		c.mu.Unlock()
	}
}

// lost returns the number of requests with no answer or more than one. Requests that the client resends to another router are not counted
// as unanswered; it resends only if the connection was closed before the kill.
func (c *steadyClient) lost(killedAt time.Time) (lost int) {
	for number, sentAt := range c.sentAt {
		resent := c.closedAt.Before(killedAt) && c.closedAt.Sub(sentAt) <= resendWindow
		if n := c.answers[number]; n > 1 || n == 0 && !resent {
			lost++
		}
	}
	return lost
}

// schedulerWaits returns how long each thread of a process has waited for a CPU, from the kernel's scheduler statistics.
func schedulerWaits(pid int) map[string]time.Duration {
	threads := map[string]time.Duration{}
	names, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid)) // the pattern is well formed
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			continue // the thread has ended
		}
		var ran, waits int64
		if n, _ := fmt.Sscan(string(text), &ran, &waits); n == 2 {
			threads[name] = time.Duration(waits)
		}
	}
	return threads
}

// longestSchedulerWait returns the longest time that a thread of a process has waited for a CPU since the statistics in since were read;
// threads that started later count from 0.
func longestSchedulerWait(pid int, since map[string]time.Duration) (longest time.Duration) {
	for name, waits := range schedulerWaits(pid) {
		longest = max(longest, waits-since[name])
	}
	return longest
}

// shutdownResult counts the requests of one shutdown by outcome.
type shutdownResult struct {
	sent, served, lost int
	longestWait        time.Duration // longest time that a thread of the router waited for a CPU shortly before the kill
}

// A shutdown is repeated, up to maxRuns in total, if a thread of the router waited for a CPU longer than maxSchedulerWait: the machine is
// too busy then.
const (
	maxSchedulerWait = 20 * time.Millisecond
	maxRuns          = 5
)

// TestShutdownBeforeKill guards against requests that are still unanswered at the earliest time of a kill after SIGTERM. That time depends
// on the deadlines; until then, clients keep sending on open connections.
func TestShutdownBeforeKill(t *testing.T) {
	running := make(chan struct{}, 6) // limits concurrent shutdowns: each keeps a core busy for a fraction of a second
	for _, c := range []struct {
		deadline time.Duration
		stops    int
	}{{50 * time.Millisecond, 4}, {100 * time.Millisecond, 2}, {1500 * time.Millisecond, 1}, {3 * time.Second, 1}, {5 * time.Second, 1}} {
		for stop := range 2 * c.stops {
			silent := stop%2 == 1
			t.Run(fmt.Sprintf("%v silent=%t", c.deadline, silent), func(t *testing.T) {
				t.Parallel()
				running <- struct{}{}
				defer func() { <-running }()
				got := killAfterStop(t, c.deadline, silent)
				for run := 1; run < maxRuns && got.longestWait > maxSchedulerWait; run++ {
					t.Logf("a thread of the router waited %v for a CPU: repeating the shutdown", got.longestWait)
					got = killAfterStop(t, c.deadline, silent)
				}
				t.Logf("%+v", got)
				if got.lost > 0 {
					t.Errorf("%d of %d requests were unanswered or answered more than once", got.lost, got.sent)
				}
				if !silent && got.served == 0 {
					t.Error("no request was served")
				}
			})
		}
	}
}

// killAfterStop sends SIGTERM to a router while clients keep sending, and kills it at the earliest time that the platform allows.
func killAfterStop(t *testing.T, deadline time.Duration, silent bool) (got shutdownResult) {
	const (
		connections   = 4
		trafficBefore = 200 * time.Millisecond
		connectFor    = 400 * time.Millisecond // new connections are made for this long after SIGTERM
		connectEvery  = 100 * time.Millisecond
		killSlack     = 700 * time.Millisecond // the kill comes killSlack plus the longest deadline after SIGTERM
		maxDeadline   = 3 * time.Second        // upper bound of the deadline in that sum
		pause         = 10 * time.Millisecond
		lastSteps     = 150 * time.Millisecond // time before the kill in which the router closes its connections
		refsPerConn   = 32                     // bits of a reference that number the requests of one connection
	)
	server := platformtest.NewModelServer(t)
	events := []discovery.Event{platformtest.Event(1, "s-0", server.Address(), "ready")}
	discoveryServer := platformtest.NewDiscovery(t, "127.0.0.1:0", nil, events...)
	router := startRouter(t, platformtest.Deployment{Grace: gracePeriod, Deadline: deadline}.Configuration(discoveryServer.Address(), events...))
	router.waitReady()
	if silent {
		server.HoldAnswers()
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	var clients []*steadyClient
	connect := func(nth uint64) error {
		conn, err := net.Dial("tcp", router.address)
		if err != nil {
			return err
		}
		all.Go(func() {
			c := sendSteadily(conn, nth<<refsPerConn, deadline, pause)
			mu.Lock()
			defer mu.Unlock()
			clients = append(clients, c)
		})
		return nil
	}
	for n := range uint64(connections) {
		if err := connect(n); err != nil {
			t.Errorf("can't connect: %v", err)
		}
	}
	time.Sleep(trafficBefore)
	stoppedAt := time.Now()
	router.signal(syscall.SIGTERM)
	for n := uint64(connections); time.Since(stoppedAt) < connectFor; n++ {
		if err := connect(n); err != nil {
			t.Errorf("can't connect %v after SIGTERM: %v", time.Since(stoppedAt), err)
		}
		time.Sleep(connectEvery)
	}
	killAt := stoppedAt.Add(killSlack + min(deadline, maxDeadline))
	time.Sleep(time.Until(killAt.Add(-lastSteps)))
	waits := schedulerWaits(router.command.Process.Pid)
	time.Sleep(time.Until(killAt))
	got.longestWait = longestSchedulerWait(router.command.Process.Pid, waits)
	killedAt := time.Now()
	if err := router.command.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		t.Fatal(err)
	}
	all.Wait()
	for _, c := range clients {
		got.sent += len(c.sentAt)
		got.served += c.served
		got.lost += c.lost(killedAt)
	}
	return got
}
