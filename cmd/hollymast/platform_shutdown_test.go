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

// resendWindow is how long before a close a request may be sent that its client then sends again elsewhere.
const resendWindow = 50 * time.Millisecond

// steadyClient sends requests on one connection at a steady pace, whatever is answered, until the connection is closed.
type steadyClient struct {
	mu       sync.Mutex
	sentAt   map[uint64]time.Time // by number of the request
	answers  map[uint64]int       // likewise
	served   int                  // answered with success
	closedAt time.Time
}

// sendSteadily sends with a pause between two requests until the router closes the connection or its process has ended.
func sendSteadily(conn net.Conn, firstRef uint64, timeout, pause time.Duration) *steadyClient {
	c := &steadyClient{sentAt: map[uint64]time.Time{}, answers: map[uint64]int{}}
	var reader sync.WaitGroup
	reader.Go(func() { c.readAnswers(conn) })
	for number := uint64(1); ; number++ {
		text, err := msgpack.Marshal([]any{0, number, "again", []any{map[string]string{"ref": fmt.Sprintf("%016x", firstRef+number),
			"allow": fmt.Sprint(timeout.Milliseconds()), "project": "acme", "lookup": fmt.Sprintf("%016x", 1+number%4),
			"spec": "memory_mb:512;lanes:2"}, []byte("body")}})
		if err != nil {
			panic(err) // plain values
		}
		c.mu.Lock()
		closed := !c.closedAt.IsZero()
		if !closed {
			c.sentAt[number] = time.Now()
		}
		c.mu.Unlock()
		if _, err = conn.Write(text); closed || err != nil {
			break
		}
		time.Sleep(pause)
	}
	reader.Wait()
	conn.Close()
	return c
}

// readAnswers counts answers until the connection is closed.
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

// lost counts the requests that got no answer, or two, but for those that the client sends again elsewhere, which it does not after a kill.
func (c *steadyClient) lost(killedAt time.Time) (lost int) {
	for number, sentAt := range c.sentAt {
		resent := c.closedAt.Before(killedAt) && c.closedAt.Sub(sentAt) <= resendWindow
		if n := c.answers[number]; n > 1 || n == 0 && !resent {
			lost++
		}
	}
	return lost
}

// schedulerWaits returns how long each thread of a process has waited for a processor, as the kernel counts it.
func schedulerWaits(process int) map[string]time.Duration {
	threads := map[string]time.Duration{}
	names, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", process)) // the pattern is well formed
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

// longestSchedulerWait returns the longest time that a thread of a process has waited since then; threads that began later count from 0.
func longestSchedulerWait(process int, since map[string]time.Duration) (longest time.Duration) {
	for name, waits := range schedulerWaits(process) {
		longest = max(longest, waits-since[name])
	}
	return longest
}

// stopOutcome is what became of the requests of one shutdown.
type stopOutcome struct {
	sent, served, lost int
	starved            time.Duration // the longest time that a thread of the router waited for a processor in the last steps
}

// A shutdown in which a thread of the router waited longer than maxSchedulerWait for a processor shows that the machine is busy, and is
// repeated.
const (
	maxSchedulerWait = 20 * time.Millisecond
	maxRuns          = 5
)

// TestShutdownBeforeKill guards against requests that the earliest kill after SIGTERM finds unanswered: clients go on sending on open
// connections until then, and the shorter the deadlines, the sooner it comes.
func TestShutdownBeforeKill(t *testing.T) {
	running := make(chan struct{}, 6) // shutdowns at a time: each keeps a core busy for parts of a second
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
				for run := 1; run < maxRuns && got.starved > maxSchedulerWait; run++ {
					t.Logf("a thread of the router waited %v for a processor: repeated", got.starved)
					got = killAfterStop(t, c.deadline, silent)
				}
				t.Logf("%+v", got)
				if got.lost > 0 {
					t.Errorf("%d of %d requests were unanswered, or twice answered", got.lost, got.sent)
				}
				if !silent && got.served == 0 {
					t.Error("none was served")
				}
			})
		}
	}
}

// killAfterStop stops a router with SIGTERM while clients go on sending, and kills it at the earliest time.
func killAfterStop(t *testing.T, deadline time.Duration, silent bool) (got stopOutcome) {
	const (
		connections   = 4
		trafficBefore = 200 * time.Millisecond
		connectFor    = 400 * time.Millisecond // new connections after SIGTERM
		connectEvery  = 100 * time.Millisecond
		killSlack     = 700 * time.Millisecond // the kill comes that long after SIGTERM and the longest deadline,
		maxDeadline   = 3 * time.Second        // which counts as no more than this
		pause         = 10 * time.Millisecond
		lastSteps     = 150 * time.Millisecond // before the kill: in them a router closes what it has
		refsPerConn   = 32                     // bits
	)
	server := platformtest.NewModelServer(t)
	events := []discovery.Event{platformtest.Event(1, "s-0", server.Address(), "ready")}
	plane := platformtest.NewDiscovery(t, "127.0.0.1:0", nil, events...)
	router := startRouter(t, platformtest.Deployment{Grace: gracePeriod, Deadline: deadline}.Configuration(plane.Address(), events...))
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
			t.Errorf("no connection: %v", err)
		}
	}
	time.Sleep(trafficBefore)
	stoppedAt := time.Now()
	router.signal(syscall.SIGTERM)
	for n := uint64(connections); time.Since(stoppedAt) < connectFor; n++ {
		if err := connect(n); err != nil {
			t.Errorf("no new connection %v after SIGTERM: %v", time.Since(stoppedAt), err)
		}
		time.Sleep(connectEvery)
	}
	killAt := stoppedAt.Add(killSlack + min(deadline, maxDeadline))
	time.Sleep(time.Until(killAt.Add(-lastSteps)))
	waits := schedulerWaits(router.command.Process.Pid)
	time.Sleep(time.Until(killAt))
	got.starved = longestSchedulerWait(router.command.Process.Pid, waits)
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
