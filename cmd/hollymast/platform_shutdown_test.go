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

// crosses is how long before a close a request may be sent that its client sends again elsewhere.
const resendWindow = 50 * time.Millisecond

// pushing is a client's connection on which requests go out at a steady pace, whatever is answered, until it is closed.
type steadyClient struct {
	mu       sync.Mutex
	sent     map[uint64]time.Time
	answered map[uint64]int
	served   int
	closed   time.Time
}

// push sends at that pace until the router closes the connection, or the process that held it ended.
func sendSteadily(conn net.Conn, first uint64, allow, pace time.Duration) *steadyClient {
	p := &steadyClient{sent: map[uint64]time.Time{}, answered: map[uint64]int{}}
	var both sync.WaitGroup
	both.Go(func() { p.readAnswers(conn) })
	for number := uint64(1); ; number++ {
		text, err := msgpack.Marshal([]any{0, number, "again", []any{map[string]string{"ref": fmt.Sprintf("%016x", first+number),
			"allow": fmt.Sprint(allow.Milliseconds()), "project": "acme", "lookup": fmt.Sprintf("%016x", 1+number%4),
			"spec": "memory_mb:512;lanes:2"}, []byte("body")}})
		if err != nil {
			panic(err) // plain values
		}
		p.mu.Lock()
		gone := !p.closed.IsZero()
		if !gone {
			p.sent[number] = time.Now()
		}
		p.mu.Unlock()
		if _, err = conn.Write(text); gone || err != nil {
			break
		}
		time.Sleep(pace)
	}
	both.Wait()
	conn.Close()
	return p
}

func (p *steadyClient) readAnswers(conn net.Conn) {
	answers := msgpack.NewDecoder(conn)
	for {
		answer, err := answers.DecodeSlice()
		p.mu.Lock()
		if err != nil {
			p.closed = time.Now()
			p.mu.Unlock()
			return
		}
		var number uint64
		fmt.Sscan(fmt.Sprint(answer[1]), &number)
		p.answered[number]++
		if answer[2] == nil {
			p.served++
		}
		p.mu.Unlock()
	}
}

// lost counts the requests that got no answer, or two, but for those that are sent again. None is after the kill.
func (p *steadyClient) lost(killed time.Time) (lost int) {
	for number, at := range p.sent {
		again := p.closed.Before(killed) && p.closed.Sub(at) <= resendWindow
		if n := p.answered[number]; n > 1 || n == 0 && !again {
			lost++
		}
	}
	return lost
}

// waited gives how long each thread of a process has waited for a processor, as the kernel counts it.
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

// longestWait gives the most that a thread of a process has waited since; those that began later have waited from 0.
func longestSchedulerWait(process int, since map[string]time.Duration) (longest time.Duration) {
	for name, waits := range schedulerWaits(process) {
		longest = max(longest, waits-since[name])
	}
	return longest
}

// outcome is what became of the requests of one stop.
type stopOutcome struct {
	sent, served, lost int
	starved            time.Duration // the most that a thread of the router waited for a processor in the last steps of its stop
}

// mostStarved is what a router on a machine with room for it waits at most: a stop with more shows the machine, and is played again.
const maxSchedulerWait = 20 * time.Millisecond

// TestKilledRouterOwesNothing guards against requests that the earliest kill after SIGTERM finds unanswered: clients go on sending
// on open connections until then, and the shorter the deadlines, the sooner it comes.
func TestKilledRouterOwesNothing(t *testing.T) {
	room := make(chan struct{}, 6) // stops at a time: each keeps a core busy for parts of a second
	for _, c := range []struct {
		deadline time.Duration
		stops    int
	}{{50 * time.Millisecond, 4}, {100 * time.Millisecond, 2}, {1500 * time.Millisecond, 1}, {3 * time.Second, 1}, {5 * time.Second, 1}} {
		for stop := range 2 * c.stops {
			silent := stop%2 == 1
			t.Run(fmt.Sprintf("%v silent=%t", c.deadline, silent), func(t *testing.T) {
				t.Parallel()
				room <- struct{}{}
				defer func() { <-room }()
				const plays = 5
				got := killAfterStop(t, c.deadline, silent)
				for play := 1; play < plays && got.starved > maxSchedulerWait; play++ {
					t.Logf("a thread of the router waited %v for a processor: played again", got.starved)
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

// killAfterStop stops a router, with clients that go on sending, and kills it at the earliest time.
func killAfterStop(t *testing.T, deadline time.Duration, silent bool) (got stopOutcome) {
	const (
		connections = 4
		comeFor     = 400 * time.Millisecond // new connections after SIGTERM
		spared      = 700 * time.Millisecond // and the longest deadline, of which
		countsMost  = 3 * time.Second
		pace        = 10 * time.Millisecond
		lastSteps   = 150 * time.Millisecond // before the kill: in them a router closes what it has
	)
	server := platformtest.NewModelServer(t)
	events := []discovery.Event{platformtest.Event(1, "s-0", server.Address(), "ready")}
	plane := platformtest.NewDiscovery(t, "127.0.0.1:0", nil, events...)
	router := startRouter(t, platformtest.Deployment{Grace: gracePeriod, Deadline: deadline}.Configuration(plane.Address(), events...))
	router.waitReady()
	if silent {
		server.Hold()
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	var clients []*steadyClient
	begin := func(nth uint64) bool {
		conn, err := net.Dial("tcp", router.address)
		if err != nil {
			return false
		}
		all.Go(func() {
			p := sendSteadily(conn, nth<<32, deadline, pace)
			mu.Lock()
			defer mu.Unlock()
			clients = append(clients, p)
		})
		return true
	}
	for n := range uint64(connections) {
		begin(n)
	}
	time.Sleep(200 * time.Millisecond)
	told := time.Now()
	router.signal(syscall.SIGTERM)
	for n := uint64(connections); time.Since(told) < comeFor; n++ {
		if !begin(n) {
			t.Errorf("no new connection %v after SIGTERM", time.Since(told))
		}
		time.Sleep(100 * time.Millisecond)
	}
	kill := told.Add(spared + min(deadline, countsMost))
	time.Sleep(time.Until(kill.Add(-lastSteps)))
	waits := schedulerWaits(router.command.Process.Pid)
	time.Sleep(time.Until(kill))
	got.starved = longestSchedulerWait(router.command.Process.Pid, waits)
	killed := time.Now()
	if err := router.command.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		t.Fatal(err)
	}
	all.Wait()
	for _, p := range clients {
		got.sent, got.served, got.lost = got.sent+len(p.sent), got.served+p.served, got.lost+p.lost(killed)
	}
	return got
}
