package platform

import (
	"net"
	"testing"
	"time"

	"hollymast/control"
	"hollymast/internal/platformtest"
)

// TestHeldBytesAreReleased guards against bytes that stay counted, or are released twice, however requests and connections end.
func TestHeldBytesAreReleased(t *testing.T) {
	for how, behave := range map[string]func(r *runningRouter, c *testClient, held chan receivedAttempt){
		"answered": func(_ *runningRouter, c *testClient, held chan receivedAttempt) { echo(<-held); c.expect("1: body 1") },
		"cancelled": func(_ *runningRouter, c *testClient, held chan receivedAttempt) {
			<-held
			c.sendCancel(1)
			c.sendCancel(1)
		},
		"closed": func(_ *runningRouter, c *testClient, held chan receivedAttempt) { <-held; c.conn.Close() },
		"reset": func(_ *runningRouter, c *testClient, held chan receivedAttempt) {
			<-held
			c.conn.(*net.TCPConn).SetLinger(0)
		},
		"failed by its server": func(_ *runningRouter, c *testClient, held chan receivedAttempt) {
			a := <-held
			a.conn.Close()
			c.receive()
		},
		"behind bad input": func(_ *runningRouter, c *testClient, held chan receivedAttempt) {
			<-held
			c.conn.Write([]byte{0xc1})
			c.receive()
		},
		"its number comes again": func(_ *runningRouter, c *testClient, held chan receivedAttempt) {
			<-held
			c.sendRequest(1, "again")
			c.receive()
		},
		"its id comes again": func(_ *runningRouter, c *testClient, held chan receivedAttempt) {
			<-held
			c.sendRequest(2, "again", withID(1)...)
			c.receive()
		},
		"ended by the shutdown": func(r *runningRouter, c *testClient, held chan receivedAttempt) { <-held; r.stop(); c.receive() },
		"answered after a cancel": func(_ *runningRouter, c *testClient, held chan receivedAttempt) {
			a := <-held
			c.sendCancel(1)
			echo(a)
		},
	} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			server, held := holdingServer(t)
			r := start(t, server)
			c := r.dial(t)
			c.sendRequest(1, "once")
			platformtest.WaitFor(t, "the request is counted", func() bool { return r.clientBytes.total.Load() > 0 })
			behave(r, c, held)
			c.conn.Close()
			platformtest.WaitFor(t, "the connection has ended", r.allClientsClosed)
			platformtest.WaitFor(t, "nothing is counted", func() bool { return r.clientBytes.total.Load() == 0 })
		})
	}
}

// TestRequestsBeyondMemoryAreRejected guards against a client that holds so much that nothing is left for others.
func TestRequestsBeyondMemoryAreRejected(t *testing.T) {
	server, held := holdingServer(t)
	limits := control.ClientMemory{Total: 8 << 10, PerClient: 2 << 10}
	r := startWith(t, func(r *Router) { r.clientBytes.limits = limits }, server)
	greedy, modest := r.dial(t), r.dial(t)
	const requests = 8
	for number := 1; number <= requests; number++ {
		greedy.sendRequest(number, "again", "lookup", "00000000000000ff", "unknown", string(make([]byte, 1000)))
	}
	rejected := greedy.receive()
	if rejected != "2: TryLater" {
		t.Errorf("got %q, want the rejection of the second request", rejected)
	}
	modest.sendRequest(1, "again", withID(100)...)
	platformtest.WaitFor(t, "both clients have a request open", func() bool { return r.clientBytes.total.Load() > limits.RequestBytes(1000)+limits.RequestBytes(0) })
	for range 2 {
		select {
		case a := <-held:
			echo(a)
		case <-time.After(time.Second):
			t.Fatal("a request that fits was not sent")
		}
	}
	modest.expect("1: body 1")
}
