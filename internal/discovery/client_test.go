package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"hollymast/control"
	"hollymast/internal/fleet"
)

// manualClient is a client without its goroutine: Run is not called, and the test calls the single steps instead.
type manualClient struct {
	*Client
	lists chan []fleet.Endpoint
}

func newManualClient(address string) *manualClient {
	lists := make(chan []fleet.Endpoint, 8)
	return &manualClient{NewClient(State{}, address, testGrace, 1, sendLists(lists), func(string, error) {}), lists}
}

// open opens a watch without reading it.
func (m *manualClient) open(ctx context.Context) (*watch, error) {
	m.mu.Lock()
	w := m.addWatch(ctx, time.Now())
	m.mu.Unlock()
	return w, m.establish(w)
}

// subscribe opens a watch and returns it with the server's end of the connection.
func (m *manualClient) subscribe(t *testing.T, conns chan net.Conn, subscriptions chan string) (*watch, net.Conn) {
	t.Helper()
	w, err := m.open(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { m.closeWatch(w, net.ErrClosed) })
	receive(t, "a subscription", subscriptions)
	return w, receive(t, "a connection", conns)
}

// awaitInput waits until a watch has input, without reading it.
func (w *watch) awaitInput(t *testing.T) {
	t.Helper()
	w.conn.SetReadDeadline(time.Now().Add(4 * time.Second))
	defer w.conn.SetReadDeadline(time.Time{})
	err := w.raw.Read(func(fd uintptr) bool {
		n, _, _ := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return n > 0
	})
	if err != nil {
		t.Fatalf("nothing arrived within 4 s: %v", err)
	}
}

// awaitGoroutine waits until a goroutine with the function on its stack is in the given state, named as in a stack dump.
func awaitGoroutine(state, function string) bool {
	buf := make([]byte, 1<<20)
	for began := time.Now(); time.Since(began) < 4*time.Second; runtime.Gosched() {
		for goroutine := range strings.SplitSeq(string(buf[:runtime.Stack(buf, true)]), "\n\n") {
			header, _, _ := strings.Cut(goroutine, "\n")
			if strings.Contains(header, state) && strings.Contains(goroutine, function) {
				return true
			}
		}
	}
	return false
}

// CatchUp itself reads what the server has sent, without waiting for the client's goroutine.
func TestCatchUpReadsPendingEvents(t *testing.T) {
	address, conns, subscriptions := startServer(t)
	client := newManualClient(address)
	w, c := client.subscribe(t, conns, subscriptions)
	fmt.Fprintln(c, fullEvent(1, "a", "10.0.0.1:1", "ready"))
	fmt.Fprintln(c, event(2, "a", "10.0.0.1:1", "draining"))
	w.awaitInput(t)
	before := time.Now()
	for client.Revision() < 2 { // the second event may arrive later than the first
		if asOf := client.CatchUp(); asOf.Before(before) {
			t.Fatalf("the list is complete as of a time %v before the read", before.Sub(asOf))
		}
	}
	receive(t, "the first list", client.lists)
	if list := receive(t, "the second list", client.lists); len(list) != 1 || list[0].State != control.Draining {
		t.Errorf("got %v", list)
	}
}

// A read deadline that passed while the process was stalled neither hides events that arrived meanwhile nor ends the
// connection.
func TestPassedDeadlineDoesNotHideEvents(t *testing.T) {
	address, conns, subscriptions := startServer(t)
	client := newManualClient(address)
	w, c := client.subscribe(t, conns, subscriptions)
	fmt.Fprintln(c, fullEvent(1, "a", "10.0.0.1:1", "ready"))
	w.awaitInput(t)
	w.conn.SetReadDeadline(time.Now().Add(-time.Second))
	ended := make(chan error, 1)
	go func() { ended <- client.readWatch(w) }()
	receive(t, "the list", client.lists)
	fmt.Fprintln(c, event(2, "b", "10.0.0.2:1", "ready"))
	receive(t, "a list on the same connection", client.lists)
	w.cancel()
	<-ended
}

// Events that the old address has sent are applied before its connection is closed.
func TestAddressChangeReadsOldConnectionFirst(t *testing.T) {
	address, conns, subscriptions := startServer(t)
	client := newManualClient(address)
	w, c := client.subscribe(t, conns, subscriptions)
	other, otherConns, otherSubscriptions := startServer(t)
	client.SetAddress(other)
	fmt.Fprintln(c, fullEvent(1, "a", "10.0.0.1:1", "draining"))
	w.awaitInput(t)
	if _, err := client.open(context.Background()); err != nil {
		t.Fatal(err)
	}
	receive(t, "the list", client.lists)
	receive(t, "a connection elsewhere", otherConns)
	if line := receive(t, "a subscription elsewhere", otherSubscriptions); line != "watch 1\n" {
		t.Errorf("subscribed with %q", line)
	}
}

// As long as the new address can't be reached, the old connection is still read.
func TestUnreachableNewAddressKeepsOldConnection(t *testing.T) {
	address, conns, subscriptions := startServer(t)
	client := newManualClient(address)
	w, c := client.subscribe(t, conns, subscriptions)
	client.SetAddress("127.0.0.1:1")
	if _, err := client.open(context.Background()); err == nil {
		t.Fatal("something is listening on port 1")
	}
	fmt.Fprintln(c, fullEvent(1, "a", "10.0.0.1:1", "draining"))
	w.awaitInput(t)
	client.CatchUp()
	receive(t, "the list", client.lists)
}

// After a long outage, the client subscribes again within half the grace period if the server ends the connection before
// its first answer is complete: the events that were still to come count as received at the time of the subscription.
func TestReconnectIsQuickAfterAnInterruptedAnswer(t *testing.T) {
	for name, answer := range map[string]string{
		"within the first event":    fullEvent(1, "a", "10.0.0.1:1", "ready")[:60],
		"after the first event":     fullEvent(1, "a", "10.0.0.1:1", "ready") + "\n",
		"before it sends anything":  "",
		"an event is missing":       fullEvent(1, "a", "10.0.0.1:1", "ready") + "\n7\n",
		"what it sends is no event": "{}}\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, startListening := reserveAddress(t)
			failures := make(chan error, 100)
			runClient(t, NewClient(State{}, address, testGrace, 1, func(fleet.Update) {}, func(_ string, err error) { failures <- err }))
			const failuresUntilMaxBackoff = 8 // 20 ms, doubled to 1 s
			for range failuresUntilMaxBackoff {
				receive(t, "a failed dial", failures)
			}
			l := startListening()
			var subscribed [3]time.Time
			for i := range subscribed {
				c, err := l.Accept()
				if err != nil {
					t.Fatal(err)
				}
				bufio.NewReader(c).ReadString('\n')
				subscribed[i] = time.Now()
				if i < len(subscribed)-1 {
					fmt.Fprint(c, answer)
				}
				c.Close()
			}
			const tolerance = 50 * time.Millisecond // for a busy machine
			for i := range subscribed[1:] {
				if took := subscribed[i+1].Sub(subscribed[i]); took > testGrace/2+tolerance {
					t.Errorf("subscribed again after %v", took)
				}
			}
		})
	}
}

// Started does not wait for a server that can't be reached.
func TestStartedWhenServerIsUnreachable(t *testing.T) {
	c, _ := startClient(t, "127.0.0.1:1")
	receive(t, "the start", c.Started())
}

// Started is signalled once the server's answer to the first subscription was applied and confirmed by a heartbeat. Until
// then more of the answer may follow.
func TestStartedAfterFirstAnswer(t *testing.T) {
	address, conns, subscriptions := startServer(t)
	client := newManualClient(address)
	client.schedule.grace = time.Hour
	w, c := client.subscribe(t, conns, subscriptions)
	mustNotBeStarted := func(when string) {
		t.Helper()
		select {
		case <-client.Started():
			t.Fatalf("started %s", when)
		default:
		}
	}
	mustNotBeStarted("before the answer")
	fmt.Fprintln(c, fullEvent(1, "a", "10.0.0.1:1", "ready"))
	w.awaitInput(t)
	client.CatchUp()
	receive(t, "the list", client.lists)
	mustNotBeStarted("before the heartbeat")
	fmt.Fprintln(c, 1)
	w.awaitInput(t)
	client.CatchUp()
	receive(t, "the start", client.Started())
}

// A line that is too long ends the connection. If it is sent again, it is skipped and the drain after it is applied.
func TestTooLongLineIsSkippedOnRepeat(t *testing.T) {
	address, conns, subscriptions := startServer(t)
	_, lists := startClient(t, address)
	for range 2 {
		c := receive(t, "a connection", conns)
		receive(t, "a subscription", subscriptions)
		go func() {
			fmt.Fprintln(c, strings.Repeat("x", maxLine+2*readSize))
			fmt.Fprintln(c, fullEvent(2, "a", "10.0.0.1:1", "draining"))
		}()
	}
	if list := receive(t, "the list", lists); len(list) != 1 || list[0].State != control.Draining {
		t.Errorf("got %v", list)
	}
}

// The list is known to be complete once a heartbeat has confirmed that no event is missing, and from then on as of each
// read. The time does not advance after the connection has ended, nor on a new one that has not been confirmed yet.
func TestCompleteAsOfLastCompleteAnswer(t *testing.T) {
	address, conns, subscriptions := startServer(t)
	client := newManualClient(address)
	w, c := client.subscribe(t, conns, subscriptions)
	fmt.Fprintln(c, fullEvent(1, "a", "10.0.0.1:1", "ready"))
	catchUp := func() (before time.Time) {
		before = time.Now()
		client.CatchUp()
		return before
	}
	catchUpUntil := func(what string, done func() bool) {
		for began := time.Now(); !done(); catchUp() {
			if time.Since(began) > 4*time.Second {
				t.Fatal(what)
			}
		}
	}
	catchUpUntil("the event is not read", func() bool { return client.Revision() == 1 })
	if !client.CompleteAsOf().IsZero() {
		t.Error("complete before a heartbeat")
	}
	fmt.Fprintln(c, 1)
	catchUpUntil("not complete after a heartbeat", func() bool { return !client.CompleteAsOf().IsZero() })
	if before := catchUp(); client.CompleteAsOf().Before(before) {
		t.Error("not complete as of the last read")
	}
	fmt.Fprint(c, `{"rev":2`) // an incomplete event
	w.awaitInput(t)
	if before := catchUp(); !client.CompleteAsOf().Before(before) {
		t.Error("complete with an incomplete event")
	}
	c.Close()
	catchUpUntil("the end is not read", func() bool { return w.endErr != nil })
	complete := client.CompleteAsOf()
	_, c = client.subscribe(t, conns, subscriptions)
	fmt.Fprintln(c, event(2, "b", "10.0.0.2:1", "ready"))
	catchUpUntil("the next event is not read", func() bool { return client.Revision() == 2 })
	if !client.CompleteAsOf().Equal(complete) {
		t.Errorf("complete as of %v later, with no complete answer since", client.CompleteAsOf().Sub(complete))
	}
}

// Guards against a deadlock when a connection ends during CatchUp while the client's goroutine is about to read it: a
// close waits for readers of the descriptor, and that reader waits for the client's lock, which CatchUp holds.
func TestCatchUpReturnsWhileReaderWaits(t *testing.T) {
	address, conns, subscriptions := startServer(t)
	c, lists := startClient(t, address)
	receive(t, "a subscription", subscriptions)
	server := receive(t, "a connection", conns)
	defer server.Close()
	fmt.Fprintln(server, fullEvent(1, "a", "10.0.0.1:1", "ready"))
	receive(t, "a list", lists)
	if !awaitGoroutine("IO wait", "discovery.(*watch).wait") {
		t.Fatal("the goroutine does not wait for input")
	}

	setRead := func(f func(int, []byte) (int, error)) {
		c.mu.Lock()
		defer c.mu.Unlock()
		read = f
	}
	var once sync.Once
	setRead(func(fd int, b []byte) (int, error) {
		once.Do(func() { // in CatchUp: make the goroutine wake and wait for the lock, then end the connection
			fmt.Fprintln(server, "heartbeat")
			if !awaitGoroutine("sync.Mutex.Lock", "discovery.(*Client).readReady") {
				t.Error("the goroutine does not wait for the lock")
			}
			syscall.Shutdown(fd, syscall.SHUT_RD)
		})
		return syscall.Read(fd, b)
	})
	caughtUp := make(chan struct{})
	go func() {
		defer close(caughtUp)
		c.CatchUp()
	}()
	select {
	case <-caughtUp:
	case <-time.After(5 * time.Second):
		t.Fatal("CatchUp and the client's goroutine are deadlocked") // any further user of the lock would block too
	}
	setRead(syscall.Read)
}

// The report of a watch's end tells whether the server had answered: one that is slow or crowded needs another remedy than
// one that breaks off.
func TestEndOfWatchTellsWhetherItWasAnswered(t *testing.T) {
	for name, answer := range map[string]string{"unanswered": "", "answered": "0\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, conns, subscriptions := startServer(t)
			reports := make(chan error, 100)
			runClient(t, NewClient(State{}, address, testGrace, 1, func(fleet.Update) {}, func(_ string, err error) { reports <- err }))
			c := receive(t, "a connection", conns)
			receive(t, "a subscription", subscriptions)
			fmt.Fprint(c, answer)
			c.Close()
			var end *WatchError
			if err := receive(t, "the report", reports); !errors.As(err, &end) {
				t.Fatalf("got %v", err)
			}
			if end.Address != address || end.Answered != (answer != "") || !errors.Is(end, io.EOF) {
				t.Errorf("got %v", end)
			}
		})
	}
}
