package platform

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"hollymast/control"
	"hollymast/internal/msgrpc"
)

// All times of the shutdown follow from the longest deadline: before the earliest kill all is answered and closed.
func TestShutdownEndsBeforeKill(t *testing.T) {
	const second = 1_000_000
	for longest, ends := range map[control.Micros]control.Micros{0: 600_000, 50_000: 620_000, 100_000: 670_000, 230_000: 800_000,
		3 * second: 800_000, 30 * second: 800_000} {
		p := idleRouter(t)
		p.config.Deployment.Classes = []control.Class{{MaxDeadline: longest / 2}, {MaxDeadline: longest}}
		steps := p.stopActions()
		kill := 700_000 + min(longest, 3*second)
		if steps[0].at != ends {
			t.Errorf("%d: connections end from %d on, want %d", longest, steps[0].at, ends)
		}
		for _, s := range steps {
			if s.at >= kill {
				t.Errorf("%d: a step at %d, the kill at %d", longest, s.at, kill)
			}
		}
	}
}

// Requests in flight when the kill is near are answered; those that were never written are told that a retry is safe.
func TestShutdownAnswersRequestsInFlight(t *testing.T) {
	held := make(chan receivedFrame, 1)
	r := start(t, newDiscoveryServer(t, 1), modelServer(t, func(a receivedFrame) { held <- a }))
	c := r.dial(t)
	c.call(1, "once")
	<-held
	r.queue.Post(func(now control.Micros) { // chosen, and not written yet
		j := &request{id: 2, number: 2, client: r.requests[1].client, readAt: now}
		j.client.open[2] = j
		r.requests[2] = j
		r.answerOpen()
	})
	c.expect("1: Aborted")
	c.expect("2: TryLater")
}

// A request that may have run is rejected, for another router, where repeating it is safe.
func TestShutdownRejectsRetryableRequests(t *testing.T) {
	held := make(chan receivedFrame, 1)
	for class, want := range map[string]string{"once": "1: Aborted", "again": "1: TryLater"} {
		r := start(t, newDiscoveryServer(t, 1), modelServer(t, func(a receivedFrame) { held <- a }))
		c := r.dial(t)
		c.call(1, class)
		<-held
		r.queue.Post(func(control.Micros) { r.answerOpen() })
		c.expect(want)
	}
}

// Near the kill only held requests are rejected, and of those the ones whose deadline is after it.
func TestShutdownRejectsHeldRequestsFirst(t *testing.T) {
	held := make(chan receivedFrame, 1)
	r := start(t, newDiscoveryServer(t, 1), modelServer(t, func(a receivedFrame) { held <- a }))
	c := r.dial(t)
	c.call(1, "again")
	a := <-held
	r.queue.Post(func(now control.Micros) {
		r.stopRequestedAt = now - earliestKill(r.config.Deployment) + rejectHeldBeforeKill
		first := r.requests[1]
		for n, patience := range map[uint32]control.Micros{2: rejectHeldBeforeKill - answerBeforeKill, 3: rejectHeldBeforeKill - answerBeforeKill + 1} {
			j := &request{id: control.RequestID(n), number: n, client: first.client, readAt: now}
			j.message.Timeout = patience
			first.client.open[n] = j
			r.requests[j.id] = j
		}
		r.rejectHeld()
		if r.requests[2] == nil || r.requests[1] == nil {
			t.Error("more than what is held beyond the kill was pushed back")
		}
		r.endRequests(func(j *request) bool { return j.id == 2 })
		r.stopRequestedAt = 0
	})
	c.expect("3: TryLater")
	c.expect("2: TryLater")
	echo(a)
	c.expect("1: body 1")
}

// A client that always has something open does not keep its connection: each request is answered, or crosses the
// close.
func TestBusyClientConnectionIsClosed(t *testing.T) {
	r := start(t, newDiscoveryServer(t, 1), modelServer(t, echo))
	c, ours := r.dialHooked(t, func(*testClient, int, error) {})
	answered, sent, done := map[int]bool{}, map[int]time.Time{}, make(chan struct{})
	open := make(chan struct{}, maxOpenPerClient) // no more: it is a usual client otherwise
	var both sync.WaitGroup
	both.Go(func() {
		for what := c.receive(); what != "closed"; what = c.receive() {
			var number int
			fmt.Sscanf(what, "%d", &number)
			answered[number] = true
			<-open
		}
	})
	both.Go(func() {
		for n := 1; ; n++ {
			select {
			case <-done:
				return
			case open <- struct{}{}:
			}
			time.Sleep(lastReadTime / 4)
			sent[n] = time.Now()
			c.call(n, "again")
		}
	})
	waitFor(t, "it is answered steadily", func() bool {
		ours.mu.Lock()
		defer ours.mu.Unlock()
		return ours.lastNumber > 100
	})
	ours.closeWhenIdle(drainAfterIdle)
	ours.closeBy(finalReadTime)
	select {
	case <-ours.writes.written:
	case <-time.After(time.Second):
		t.Error("it is open still")
		ours.conn.Close()
	}
	closed := time.Now()
	close(done)
	both.Wait()
	for n, at := range sent {
		if !answered[n] && closed.Sub(at) > drainAfterIdle {
			t.Errorf("request %d, sent %v before the close, has no answer", n, closed.Sub(at))
		}
	}
}

// instant is a connection on which nothing comes; a read of it takes no time.
type emptyConn struct{ net.Conn }

// nothing is the descriptor of an instant.
type emptyRawConn struct{}

func (emptyConn) SyscallConn() (syscall.RawConn, error) { return emptyRawConn{}, nil }
func (emptyRawConn) Control(func(uintptr)) error        { return nil }
func (emptyRawConn) Read(func(uintptr) bool) error      { return os.ErrDeadlineExceeded }
func (emptyRawConn) Write(func(uintptr) bool) error     { return nil }

// A reader whose deadline passes at this very moment ends, and does not loop: the clock may stand still meanwhile.
func TestReaderEndsAtDeadline(t *testing.T) {
	p := idleRouter(t)
	synctest.Test(t, func(t *testing.T) {
		ours, theirs := net.Pipe()
		defer theirs.Close()
		c := &clientConn{router: p, conn: ours, in: &deadlineReader{conn: emptyConn{ours}}, open: map[uint32]*request{1: {}}}
		c.sentMessage.Store(true)
		c.closeBy(finalReadTime)
		if c.awaitMessage(msgrpc.NewReader(c.in), time.Now()) {
			t.Error("something was read")
		}
	})
}
