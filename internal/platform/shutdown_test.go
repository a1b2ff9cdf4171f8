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
	"hollymast/internal/platformtest"
)

// All times of the shutdown follow from the longest deadline: everything is answered and closed before the earliest
// kill.
func TestShutdownEndsBeforeKill(t *testing.T) {
	const second = 1_000_000
	for longest, closesAt := range map[control.Micros]control.Micros{0: 600_000, 50_000: 620_000, 100_000: 670_000, 230_000: 800_000,
		3 * second: 800_000, 30 * second: 800_000} {
		r := idleRouter(t)
		r.config.Deployment.Classes = []control.Class{{MaxDeadline: longest / 2}, {MaxDeadline: longest}}
		actions := r.stopActions()
		kill := 700_000 + min(longest, 3*second)
		if actions[0].at != closesAt {
			t.Errorf("%d: connections are closed from %d on, want %d", longest, actions[0].at, closesAt)
		}
		for _, action := range actions {
			if action.at >= kill {
				t.Errorf("%d: an action at %d, the kill at %d", longest, action.at, kill)
			}
		}
	}
}

// addRequest adds a request that was read at now and has no attempt. It must run on the event loop.
func (r *Router) addRequest(number uint32, client *clientConn, now control.Micros) *request {
	req := &request{id: control.RequestID(number), number: number, client: client, readAt: now}
	client.open[number] = req
	r.requests[req.id] = req
	return req
}

// Requests still in flight shortly before the kill are answered. The clients of those that were never written are
// told that a retry is safe.
func TestShutdownAnswersRequestsInFlight(t *testing.T) {
	server, held := holdingServer(t)
	r := start(t, server)
	c := r.dial(t)
	c.sendRequest(1, "once")
	<-held
	r.loop.Post(func(now control.Micros) { // a request that has not been written yet
		r.addRequest(2, r.requests[1].client, now)
		r.answerAllInFlight()
	})
	c.expect("1: Aborted")
	c.expect("2: TryLater")
}

// A request that may have run is rejected, so that its client retries at another router, only if repeating it is
// safe.
func TestShutdownRejectsRetryableRequests(t *testing.T) {
	server, held := holdingServer(t)
	for class, want := range map[string]string{"once": "1: Aborted", "again": "1: TryLater"} {
		r := start(t, server)
		c := r.dial(t)
		c.sendRequest(1, class)
		<-held
		r.loop.Post(func(control.Micros) { r.answerAllInFlight() })
		c.expect(want)
	}
}

// Shortly before the kill only held requests are rejected, and of those only the ones whose deadline is after the
// kill.
func TestShutdownRejectsHeldRequestsFirst(t *testing.T) {
	server, held := holdingServer(t)
	r := start(t, server)
	c := r.dial(t)
	c.sendRequest(1, "again")
	a := <-held
	r.loop.Post(func(now control.Micros) {
		r.stopRequestedAt = now - r.config.Deployment.EarliestKill() + control.RejectHeldBeforeKill
		client := r.requests[1].client
		for number, timeout := range map[uint32]control.Micros{2: control.RejectHeldBeforeKill - answerBeforeKill, 3: control.RejectHeldBeforeKill - answerBeforeKill + 1} {
			r.addRequest(number, client, now).message.Timeout = timeout
		}
		r.rejectHeld()
		if r.requests[2] == nil || r.requests[1] == nil {
			t.Error("more was rejected than held requests whose deadline is after the kill")
		}
		r.endRequests(func(req *request) bool { return req.id == 2 })
		r.stopRequestedAt = 0
	})
	c.expect("3: TryLater")
	c.expect("2: TryLater")
	echo(a)
	c.expect("1: body 1")
}

// The connection of a client that always has something open is closed. Each request is answered, or was sent too
// close to the end to arrive.
func TestBusyClientConnectionIsClosed(t *testing.T) {
	r := start(t, modelServer(t, echo))
	c, routerConn := r.dialHooked(t, ignoreReads)
	answered, sent, done := map[int]bool{}, map[int]time.Time{}, make(chan struct{})
	open := make(chan struct{}, maxOpenPerClient) // the client stays within the limit of open requests
	var goroutines sync.WaitGroup
	goroutines.Go(func() {
		for what := c.receive(); what != "closed"; what = c.receive() {
			var number int
			fmt.Sscanf(what, "%d", &number)
			answered[number] = true
			<-open
		}
	})
	goroutines.Go(func() {
		for n := 1; ; n++ {
			select {
			case <-done:
				return
			case open <- struct{}{}:
			}
			time.Sleep(lastReadTime / 4)
			sent[n] = time.Now()
			c.sendRequest(n, "again")
		}
	})
	platformtest.WaitFor(t, "it is answered steadily", func() bool {
		routerConn.mu.Lock()
		defer routerConn.mu.Unlock()
		return routerConn.lastNumber > 100
	})
	routerConn.closeWhenIdle(drainAfterIdle)
	routerConn.closeBy(finalReadTime)
	select {
	case <-routerConn.writes.written:
	case <-time.After(time.Second):
		t.Error("the connection is still open")
		routerConn.conn.Close()
	}
	closed := time.Now()
	close(done)
	goroutines.Wait()
	for n, at := range sent {
		if !answered[n] && closed.Sub(at) > drainAfterIdle {
			t.Errorf("request %d, sent %v before the close, has no answer", n, closed.Sub(at))
		}
	}
}

// emptyConn is a connection without input; reads return immediately.
type emptyConn struct{ net.Conn }

// emptyRawConn is the raw connection of an emptyConn.
type emptyRawConn struct{}

func (emptyConn) SyscallConn() (syscall.RawConn, error) { return emptyRawConn{}, nil }
func (emptyRawConn) Control(func(uintptr)) error        { return nil }
func (emptyRawConn) Read(func(uintptr) bool) error      { return os.ErrDeadlineExceeded }
func (emptyRawConn) Write(func(uintptr) bool) error     { return nil }

// A reader whose deadline is exactly now ends instead of looping, even if the clock does not advance meanwhile.
func TestReaderEndsAtDeadline(t *testing.T) {
	r := idleRouter(t)
	synctest.Test(t, func(t *testing.T) {
		routerConn, peerConn := net.Pipe()
		defer peerConn.Close()
		c := &clientConn{router: r, conn: routerConn, input: &deadlineReader{conn: emptyConn{routerConn}}, open: map[uint32]*request{1: {}}}
		c.sentMessage.Store(true)
		c.closeBy(finalReadTime)
		if c.awaitMessage(msgrpc.NewReader(c.input), time.Now()) {
			t.Error("something was read")
		}
	})
}
