package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hollymast/control"
	"hollymast/internal/fleet"
)

// slowServer is a discovery server that takes its time. Its events are those of a list with server a, which event 2 drains.
type slowServer struct {
	listener net.Listener
	serve    func(c net.Conn, nth int) // serves the watch with this number, from 1; the connection is closed after it
	mu       sync.Mutex
	watches  int
}

func newSlowServer(t *testing.T, serve func(c net.Conn, nth int)) *slowServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &slowServer{listener: l, serve: serve}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.watch(c)
		}
	}()
	return s
}

func (s *slowServer) watch(c net.Conn) {
	defer c.Close()
	if _, err := bufio.NewReader(c).ReadString('\n'); err != nil {
		return
	}
	s.mu.Lock()
	s.watches++
	nth := s.watches
	s.mu.Unlock()
	s.serve(c, nth)
}

func (s *slowServer) address() string { return s.listener.Addr().String() }

// subscriptions returns how many watches were requested so far.
func (s *slowServer) subscriptions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches
}

const (
	readyEvent = `{"rev":1,"pool":{"all":true,"targets":[{"uid":"a","endpoint":"10.0.0.1:1","state":"ready"}]}}` + "\n"
	drainEvent = `{"rev":2,"pool":{"targets":[{"uid":"a","endpoint":"10.0.0.1:1","state":"draining"}]}}` + "\n"
)

// sendDrain sends all events and then heartbeats until the connection is closed.
func sendDrain(c net.Conn) {
	fmt.Fprint(c, readyEvent, drainEvent)
	sendHeartbeats(c, 2, time.Second)
}

func sendHeartbeats(c net.Conn, revision int, interval time.Duration) {
	for {
		if _, err := fmt.Fprintln(c, revision); err != nil {
			return
		}
		time.Sleep(interval)
	}
}

// awaitDrain waits until a list has server a draining. It fails the test if that takes longer than limit.
func awaitDrain(t *testing.T, lists <-chan []fleet.Endpoint, limit time.Duration) {
	t.Helper()
	timeout := time.After(limit)
	for {
		select {
		case list := <-lists:
			if len(list) == 1 && list[0].State == control.Draining {
				return
			}
		case <-timeout:
			t.Errorf("the drain was not read within %v", limit)
			return
		}
	}
}

// lateness is how much later than planned a test's goroutines may run on a busy machine.
const lateness = 400 * time.Millisecond

// Guards against a list that stays old because a slow server's answer is never awaited: each watch was given up after
// 1.5 s without an answer, and the next one waited just as long in vain.
func TestLateAnswerIsRead(t *testing.T) {
	const silenceNoticed = 1750 * time.Millisecond
	for _, c := range []struct {
		name    string
		extra   time.Duration                                           // until the slow watch is requested
		disrupt func(client *Client, first net.Conn, moved *slowServer) // ends the use of the first watch; nil: the first one is slow
	}{
		{"at the start", 0, nil},
		{"after a move", 0, func(client *Client, _ net.Conn, moved *slowServer) { client.SetAddress(moved.address()) }},
		{"after a break", 50 * time.Millisecond, func(_ *Client, first net.Conn, _ *slowServer) { first.Close() }},
		{"after silence", silenceNoticed, func(*Client, net.Conn, *slowServer) {}},
	} {
		for _, delay := range []time.Duration{1700 * time.Millisecond, 2 * time.Second, 3 * time.Second} {
			t.Run(fmt.Sprint(c.name, " ", delay), func(t *testing.T) {
				t.Parallel()
				serveLate := func(conn net.Conn, _ int) {
					time.Sleep(delay)
					sendDrain(conn)
				}
				first := make(chan net.Conn, 1)
				server := newSlowServer(t, func(conn net.Conn, nth int) {
					if c.disrupt == nil || nth > 1 {
						serveLate(conn, nth)
						return
					}
					fmt.Fprint(conn, readyEvent, "1\n")
					first <- conn
					time.Sleep(time.Minute)
				})
				client, lists := startClient(t, server.address())
				if c.disrupt != nil {
					receive(t, "the first list", lists)
					c.disrupt(client, receive(t, "the first watch", first), newSlowServer(t, serveLate))
				}
				awaitDrain(t, lists, c.extra+delay+lateness)
			})
		}
	}
}

// Guards against a fleet that crowds a slow server further: each client gave up after 1.5 s and subscribed again, so the
// server worked off subscriptions that nobody waited for, and those behind them were never answered in time.
func TestFleetLeavesCrowdedServerTimeToAnswer(t *testing.T) {
	const (
		clients     = 150
		perAnswer   = 20 * time.Millisecond
		timeForAll  = clients * perAnswer // 3 s
		maxRepeated = clients             // one more subscription of each client
	)
	queue := make(chan net.Conn, 100*clients)
	closing := make(chan struct{})
	t.Cleanup(func() { close(closing) })
	server := newSlowServer(t, func(c net.Conn, _ int) {
		queue <- c
		<-closing
	})
	go func() { // answers one subscription at a time, abandoned ones too
		for {
			select {
			case c := <-queue:
				time.Sleep(perAnswer)
				go sendDrain(c)
			case <-closing:
				return
			}
		}
	}()
	var drained sync.WaitGroup
	for i := range clients {
		lists := make(chan []fleet.Endpoint, 8)
		runClient(t, NewClient(State{}, server.address(), testGrace, uint64(i), sendLists(lists), func(string, error) {}))
		drained.Go(func() { awaitDrain(t, lists, timeForAll*5/4+lateness) })
	}
	drained.Wait()
	if n := server.subscriptions(); n > clients+maxRepeated {
		t.Errorf("%d clients subscribed %d times", clients, n)
	}
}

// Guards against giving up the watch whose turn at a crowded server comes first, and against connections without bound.
func TestOldestWatchIsKept(t *testing.T) {
	t.Parallel()
	const answeredAfter = 14 * time.Second // a fourth watch, for which another one has to go, is opened after 10.5 to 12.25 s
	var open atomic.Int32
	server := newSlowServer(t, func(c net.Conn, nth int) {
		open.Add(1)
		defer open.Add(-1)
		if nth == 1 {
			time.Sleep(answeredAfter)
			sendDrain(c)
		}
		io.Copy(io.Discard, c)
	})
	_, lists := startClient(t, server.address())
	for end := time.Now().Add(answeredAfter - lateness); time.Now().Before(end); time.Sleep(lateness / 4) {
		if open.Load() <= MaxWatches {
			continue
		}
		time.Sleep(lateness / 4) // a watch that was replaced is closed at the same time as another is opened
		if n := open.Load(); n > MaxWatches {
			t.Errorf("%d watches are open", n)
		}
	}
	awaitDrain(t, lists, 3*lateness)
}

// Guards against moves in quick succession of which the last is never followed, because the watches at the addresses between
// are awaited.
func TestMovesInQuickSuccessionAreFollowed(t *testing.T) {
	t.Parallel()
	const delay = 2 * time.Second
	first := newSlowServer(t, func(c net.Conn, _ int) {
		fmt.Fprint(c, readyEvent)
		sendHeartbeats(c, 1, time.Second)
	})
	client, lists := startClient(t, first.address())
	receive(t, "the first list", lists)
	for range 3 {
		client.SetAddress(newSlowServer(t, func(c net.Conn, _ int) { io.Copy(io.Discard, c) }).address())
		time.Sleep(200 * time.Millisecond)
	}
	last := newSlowServer(t, func(c net.Conn, _ int) {
		time.Sleep(delay)
		sendDrain(c)
	})
	client.SetAddress(last.address())
	awaitDrain(t, lists, delay+lateness)
	if n := last.subscriptions(); n > 2 {
		t.Errorf("subscribed %d times", n)
	}
}

// Guards against watches that are given up and requested again each time that a crowded server's heartbeat is late.
func TestLateHeartbeatsAreTolerated(t *testing.T) {
	t.Parallel()
	const (
		interval = 2200 * time.Millisecond
		duration = 10 * time.Second
		limit    = 3 // the first, and two before the client expects late heartbeats
	)
	server := newSlowServer(t, func(c net.Conn, _ int) {
		fmt.Fprint(c, readyEvent)
		sendHeartbeats(c, 1, interval)
	})
	startClient(t, server.address())
	time.Sleep(duration)
	if n := server.subscriptions(); n > limit {
		t.Errorf("subscribed %d times in %v", n, duration)
	}
}

// Guards against an event that is never read because it takes longer than the silence timeout to arrive.
func TestSlowlyArrivingEventIsRead(t *testing.T) {
	t.Parallel()
	const pieces, interval = 8, 500 * time.Millisecond
	server := newSlowServer(t, func(c net.Conn, _ int) {
		text := readyEvent + drainEvent
		for i := range pieces {
			fmt.Fprint(c, text[i*len(text)/pieces:(i+1)*len(text)/pieces])
			time.Sleep(interval)
		}
		sendHeartbeats(c, 2, time.Second)
	})
	_, lists := startClient(t, server.address())
	awaitDrain(t, lists, pieces*interval+lateness)
	if n := server.subscriptions(); n != 1 {
		t.Errorf("subscribed %d times", n)
	}
}

// Guards against a server that is never reached because its connections take longer than the dial timeout to come up.
func TestLateConnectionIsAwaited(t *testing.T) {
	for _, delay := range []time.Duration{700 * time.Millisecond, time.Second, 2500 * time.Millisecond} {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			t.Parallel()
			server := newSlowServer(t, func(c net.Conn, _ int) { sendDrain(c) })
			lists := make(chan []fleet.Endpoint, 8)
			client := NewClient(State{}, server.address(), testGrace, 1, sendLists(lists), func(string, error) {})
			client.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				select {
				case <-time.After(delay):
					return new(net.Dialer).DialContext(ctx, network, address)
				case <-ctx.Done():
					return nil, ctx.Err()
				}
			}
			runClient(t, client)
			awaitDrain(t, lists, delay+lateness)
		})
	}
}

// Guards against a connection that never comes up and delays the next one by the whole dial timeout, and against waiting
// for one to an address that is no longer configured.
func TestHangingConnectionDelaysNoOther(t *testing.T) {
	for _, moved := range []bool{false, true} {
		t.Run(fmt.Sprint("moved=", moved), func(t *testing.T) {
			t.Parallel()
			server := newSlowServer(t, func(c net.Conn, _ int) { sendDrain(c) })
			lists := make(chan []fleet.Endpoint, 8)
			client := NewClient(State{}, "127.0.0.1:1", testGrace, 1, sendLists(lists), func(string, error) {})
			dials := make(chan struct{}, 8)
			client.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				dials <- struct{}{}
				if len(dials) == 1 {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				return new(net.Dialer).DialContext(ctx, network, server.address())
			}
			runClient(t, client)
			limit := 1250*time.Millisecond + lateness
			if moved {
				for len(dials) == 0 {
					time.Sleep(time.Millisecond)
				}
				client.SetAddress(server.address())
				limit = lateness
			}
			awaitDrain(t, lists, limit)
		})
	}
}

// Guards against a fleet that goes on subscribing every few milliseconds at a crowded server that breaks off each watch
// before it has answered.
func TestServerThatBreaksOffUnansweredWatchesGetsRest(t *testing.T) {
	t.Parallel()
	const (
		duration = 6 * time.Second
		limit    = 20 // 8 within the first grace period, then about one each 0.75 s; without rest there are 60 and more
	)
	server := newSlowServer(t, func(net.Conn, int) {})
	startClient(t, server.address())
	time.Sleep(duration)
	if n := server.subscriptions(); n > limit {
		t.Errorf("subscribed %d times in %v", n, duration)
	}
}

// Guards against a router that starts to serve by an old list because the server's answer takes longer than a quarter of the
// grace period, or comes in parts.
func TestStartAwaitsLateAnswer(t *testing.T) {
	t.Run("late", func(t *testing.T) { testStartAwaitsAnswer(t, 2*time.Second, 0) })
	t.Run("both", func(t *testing.T) { testStartAwaitsAnswer(t, time.Second, time.Second) })
}

// Guards against a router that starts to serve by an old list because the server pauses in its answer, but did not pause before
// it. Listed in KNOWN-RED.txt.
func TestStartAwaitsAnswerInParts(t *testing.T) { testStartAwaitsAnswer(t, 0, 2*time.Second) }

// testStartAwaitsAnswer starts a client at a server that sends its first event after a delay, and another delay later the drain.
func testStartAwaitsAnswer(t *testing.T, before, after time.Duration) {
	t.Parallel()
	server := newSlowServer(t, func(conn net.Conn, _ int) {
		time.Sleep(before)
		fmt.Fprint(conn, readyEvent)
		time.Sleep(after)
		fmt.Fprint(conn, drainEvent)
		sendHeartbeats(conn, 2, time.Second)
	})
	client, lists := startClient(t, server.address())
	began := time.Now()
	receive(t, "the start", client.Started())
	if client.Revision() != 2 {
		t.Errorf("started after %v at revision %d", time.Since(began), client.Revision())
	}
	awaitDrain(t, lists, lateness)
}

// Started does not wait for ever for a server that accepts connections and never answers.
func TestStartIsBoundedWithoutAnswer(t *testing.T) {
	t.Parallel()
	server := newSlowServer(t, func(net.Conn, int) { time.Sleep(time.Minute) })
	client, _ := startClient(t, server.address())
	select {
	case <-client.Started():
	case <-time.After(4*time.Second + lateness):
		t.Error("not started")
	}
}
