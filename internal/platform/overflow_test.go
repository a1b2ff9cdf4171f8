package platform

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"hollymast/internal/platformtest"
)

// startFull runs a router that has as many busy client connections as it serves.
func startFull(t *testing.T) *runningRouter {
	t.Helper()
	server, held := holdingServer(t)
	config := testConfig(t, server)
	config.Sockets = minSockets
	r := serveReady(t, newRouter(t, config, zerolog.Nop()))
	for i := range r.maxClients {
		r.dial(t).sendRequest(1, "again", "ref", fmt.Sprintf("%016x", i+1), "allow", "3500")
		platformtest.WaitFor(t, "a request is open on each connection", func() bool {
			open := 0
			r.mu.Lock()
			defer r.mu.Unlock()
			for c := range r.clients {
				open += c.openRequestCount()
			}
			return open == i+1
		})
	}
	t.Cleanup(func() {
		for len(held) > 0 {
			echo(<-held)
		}
	})
	return r
}

// startWithoutRoom runs a router for which every connection is beyond the limit.
func startWithoutRoom(t *testing.T) *runningRouter {
	t.Helper()
	return startWith(t, func(r *Router) { r.maxClients = 0 }, modelServer(t, echo))
}

// flood opens connections on which many requests are sent at once; their clients read the answers and don't close.
func (r *runningRouter) flood(t *testing.T, conns, requests int) {
	t.Helper()
	var flood []byte
	for n := range requests {
		request, err := msgpack.Marshal([]any{0, n + 1, "again", []any{requestFields(n + 1), []byte{}}})
		if err != nil {
			t.Fatal(err)
		}
		flood = append(flood, request...)
	}
	for range conns {
		conn := r.dial(t).conn
		if _, err := conn.Write(flood); err != nil {
			t.Fatal(err)
		}
		go io.Copy(io.Discard, conn)
	}
}

// TestFloodBeyondLimitDoesNotBlockAccept guards against an accept loop that waits for clients beyond the limit:
// requests of the clients behind them stayed unread until their deadline, or until a stopping router closed its listener.
func TestFloodBeyondLimitDoesNotBlockAccept(t *testing.T) {
	const floodConns, floodRequests = 150, 300
	for name, stops := range map[string]bool{"serving": false, "stopping": true} {
		t.Run(name, func(t *testing.T) {
			r := startFull(t)
			r.flood(t, floodConns, floodRequests)
			c := r.dial(t)
			c.sendRequest(1, "again", withID(1<<20)...)
			c.sendRequest(2, "again", withID(1<<20+1)...)
			sentAt := time.Now()
			if stops {
				r.stop()
			}
			c.expect("1: TryLater")
			c.expect("2: TryLater")
			if took := time.Since(sentAt); took > clientTimeout {
				t.Errorf("answered after %v", took)
			}
		})
	}
}

// TestHeldConnectionIsServedOnceThereIsRoom guards against rejecting a client although a connection becomes free while
// its own is held.
func TestHeldConnectionIsServedOnceThereIsRoom(t *testing.T) {
	r := idleRouter(t)
	r.maxClients = 1
	routerConn, peerConn := platformtest.ConnPair(t)
	first := r.serveClient(routerConn)
	second, secondPeer := platformtest.ConnPair(t)
	o := &overflow{router: r, input: make([]byte, overflowReadSize)}
	held := newOverflowConn(r, second)
	heldSince := time.Now()
	if o.advance(held, heldSince, noPressure) {
		t.Error("the connection is not held")
	}
	peerConn.Close()
	<-first.closed
	if !o.advance(held, heldSince, noPressure) || r.spareClientConns() != 0 {
		t.Error("the second connection is not served")
	}
	secondPeer.Close()
	platformtest.WaitFor(t, "all connections end", r.allClientsClosed)
}

// TestRejectionsCatchUpAfterDelay guards against a rate of rejections that falls with each delay in scheduling: after one,
// clients that have sent something are answered at once while others wait to be accepted, but not if there was no delay.
func TestRejectionsCatchUpAfterDelay(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		nextAt time.Time
		open   int
	}{"delayed": {time.Time{}, 0}, "on time": {now.Add(overflowInterval), maxOverflowConns}} {
		r := idleRouter(t)
		r.maxClients = 0
		o := &overflow{router: r, input: make([]byte, overflowReadSize), nextAt: c.nextAt}
		for range maxOverflowConns {
			routerConn, peerConn := platformtest.ConnPair(t)
			newTestClient(t, peerConn).sendRequest(1, "again")
			held := newOverflowConn(r, routerConn)
			platformtest.WaitFor(t, "the request has arrived", held.hasInput)
			held.until = now.Add(overflowHoldTime)
			o.conns = append(o.conns, held)
		}
		if o.advanceAll(now); len(o.conns) != c.open {
			t.Errorf("%s: %d connections are open, want %d", name, len(o.conns), c.open)
		}
	}
}

// TestConnectionBeyondLimit tests what clients beyond the limit get for what they send.
func TestConnectionBeyondLimit(t *testing.T) {
	for name, c := range map[string]struct {
		send func(c *testClient)
		want []string
	}{
		"nothing":       {func(*testClient) {}, nil},
		"health checks": {func(c *testClient) { c.sendHealthCheck(1); c.sendHealthCheck(2) }, []string{"1: true", "2: true"}},
		"a request and a health check": {func(c *testClient) { c.sendRequest(1, "again"); c.sendHealthCheck(2) },
			[]string{"1: TryLater", "2: true"}},
		"a cancelled request":        {func(c *testClient) { c.sendRequest(1, "again"); c.sendCancel(1) }, []string{"1: TryLater"}},
		"invalid fields and another": {func(c *testClient) { c.sendRequest(1, "again", "ref", "-"); c.sendRequest(2, "again") }, []string{"1: Invalid", "2: TryLater"}},
		"something unreadable":       {func(c *testClient) { c.sendRequest(1, "again"); c.conn.Write([]byte{0xc1}) }, []string{"1: TryLater"}},
		"a message in two parts": {func(c *testClient) {
			message := longRequest(c.t, 1, "again")
			c.conn.Write(message[:len(message)/2])
			time.AfterFunc(overflowHoldTime+overflowRestTime/2, func() { c.conn.Write(message[len(message)/2:]) })
		}, []string{"1: TryLater"}},
		"half a message":   {func(c *testClient) { c.conn.Write([]byte{0x94, 0, 1}) }, nil},
		"and half closes":  {func(c *testClient) { c.sendRequest(1, "again"); c.conn.(*net.TCPConn).CloseWrite() }, []string{"1: TryLater"}},
		"and then goes on": {func(c *testClient) { c.sendRequest(1, "again"); c.sendRequest(2, "again") }, []string{"1: TryLater", "2: TryLater"}},
	} {
		t.Run(name, func(t *testing.T) {
			client := startWithoutRoom(t).dial(t)
			c.send(client)
			for _, want := range c.want {
				client.expect(want)
			}
			client.expect("closed")
		})
	}
}

// TestFullConnectionBeyondLimitIsRead guards against a bound on bytes: all requests that a well-behaved client may have
// open are answered, with bodies of the maximum length too.
func TestFullConnectionBeyondLimitIsRead(t *testing.T) {
	c := startWithoutRoom(t).dial(t)
	for n := range maxOpenPerClient {
		c.conn.Write(longRequest(t, n+1, "again"))
	}
	for n := range maxOpenPerClient {
		c.expect(fmt.Sprintf("%d: TryLater", n+1))
	}
}
