package platform

import (
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"hollymast/internal/platformtest"
)

// A request that was read completely is answered, however its connection ends. Each test here ends the connection in
// a different way.

// A request that had arrived completely before its connection's deadline is read completely, however long the process
// is stalled.
func TestLongRequestIsReadAfterDeadline(t *testing.T) {
	for name, end := range map[string]func(c *clientConn){"idle": func(c *clientConn) { c.closeWhenIdle(0) }, "room": func(c *clientConn) { c.abort() }} {
		r := start(t, modelServer(t, echo))
		var sent atomic.Bool
		c, routerConn := r.dialHooked(t, func(c *testClient, n int, err error) {
			if errors.Is(err, os.ErrDeadlineExceeded) && sent.CompareAndSwap(false, true) {
				c.conn.Write(longRequest(c.t, 2, "again"))
			}
			if sent.Load() {
				time.Sleep(2 * lastReadTime) // the process is stalled
			}
		})
		c.sendHealthCheck(1)
		c.expect("1: true")
		end(routerConn)
		if got := c.receive(); len(got) < 3 || got[:3] != "2: " {
			t.Errorf("%s: got %q", name, got)
		}
	}
}

// Each request sent after one whose number did not increase gets an error.
func TestRequestsBehindInvalidNumberFail(t *testing.T) {
	c := start(t, modelServer(t, func(receivedAttempt) {})).dial(t)
	var all []byte
	for _, n := range []int{3, 3, 4, 5} {
		all = append(all, longRequest(t, n, "again")...)
	}
	c.conn.Write(all)
	for _, want := range []string{"3: Invalid", "3: Aborted", "4: Invalid", "5: Invalid", "closed"} {
		c.expect(want)
	}
}

// The requests of connections beyond the limit are rejected, even if many such connections are opened at once.
func TestRequestsBeyondConnectionLimitAreRejected(t *testing.T) {
	server, held := holdingServer(t)
	config := testConfig(t, server)
	config.Sockets = minSockets
	r := serveReady(t, newRouter(t, config, zerolog.Nop()))
	accepted := make([]*testClient, r.maxClients)
	for i := range accepted {
		accepted[i] = r.dial(t)
		accepted[i].sendRequest(1, "again", "ref", fmt.Sprintf("%016x", i+1), "allow", "3500")
		platformtest.WaitFor(t, "it is read", func() bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			for c := range r.clients {
				if idle, ends := c.idle(); idle && !ends {
					return false
				}
			}
			return len(r.clients) > i
		})
	}
	more := make([]*testClient, 3*maxOverflowConns)
	for i := range more {
		more[i] = r.dial(t)
		more[i].conn.Write(append(longRequest(t, 1, "again"), longRequest(t, 2, "again")...))
	}
	for i, c := range more {
		if first, second := c.receive(), c.receive(); first != "1: TryLater" || second != "2: TryLater" {
			t.Fatalf("connection %d: %q, %q", i, first, second)
		}
		c.expect("closed")
	}
	for len(held) > 0 {
		echo(<-held)
	}
}

// After a panic while handling a request, every request on the connection is answered: that one, those already open,
// and those sent after it.
func TestPanicWhileHandlingRequest(t *testing.T) {
	server, held := holdingServer(t)
	r := start(t, server)
	c := r.dial(t)
	c.sendRequest(1, "again")
	<-held
	r.config.classes["panics"] = 99 // no such class: handling the request panics
	c.conn.Write(append(longRequest(t, 2, "panics"), longRequest(t, 3, "again")...))
	c.expect("1: Aborted")
	c.expect("2: Aborted")
	c.expect("3: Aborted")
	c.expect("closed")
	if r.anomalyCount(panicReadingClient) != 1 {
		t.Error("the panic is not counted")
	}
}
