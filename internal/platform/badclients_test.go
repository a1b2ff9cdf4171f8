package platform

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"hollymast/internal/platformtest"
)

// Whatever a client does, and whatever happens on its connection, each request gets exactly one final answer. Each
// test here causes one kind of fault.

// A well-behaved client gets all its answers while several kinds of misbehaving clients are active.
func TestBadClientsDoNotAffectOthers(t *testing.T) {
	const requests = 40
	r := start(t, modelServer(t, echo))
	regular := r.dial(t)
	end := make(chan struct{})
	var goroutines sync.WaitGroup
	for name, misbehave := range map[string]func(c *testClient, n int){
		"noise":            func(c *testClient, _ int) { c.conn.Write([]byte{0xc1, 0xff, 0}) },
		"unknown classes":  func(c *testClient, n int) { c.sendRequest(n, "unknown") },
		"a number twice":   func(c *testClient, _ int) { c.sendRequest(1, "again", withID(255)...) },
		"another's id":     func(c *testClient, n int) { c.sendRequest(n, "again", withID(1+n%requests)...) },
		"half and a close": func(c *testClient, _ int) { c.conn.Write([]byte{0x94, 0, 1}); c.conn.Close() },
		"cancels at once": func(c *testClient, n int) {
			c.sendRequest(2*n, "again", withID(1<<20+n)...)
			c.sendCancel(2 * n)
		},
		"leaves at once":    func(c *testClient, n int) { c.sendRequest(n, "again", withID(1<<30+n)...); c.conn.Close() },
		"reads nothing":     func(c *testClient, n int) { c.sendRequest(n, "unknown") },
		"asks for too many": func(c *testClient, n int) { c.sendRequest(n, "again", withID(1<<40+n)...) },
	} {
		goroutines.Go(func() {
			for conn := (net.Conn)(nil); ; {
				if conn == nil {
					var err error
					if conn, err = net.Dial("tcp", r.Address()); err != nil {
						return
					}
					conn.SetDeadline(time.Now().Add(10 * time.Second))
				}
				c := &testClient{t: t, conn: conn}
				for n := 1; n <= 50; n++ {
					misbehave(c, n)
					select {
					case <-end:
						conn.Close()
						return
					case <-time.After(lastReadTime / 2):
					}
				}
				if name != "reads nothing" {
					conn.Close()
					conn = nil
				}
			}
		})
	}
	answers := map[string]int{}
	for n := 1; n <= requests; n++ {
		regular.sendRequest(n, "again")
		time.Sleep(5 * time.Millisecond)
	}
	for range requests {
		answers[regular.receive()]++
	}
	close(end)
	goroutines.Wait()
	served := 0
	for n := 1; n <= requests; n++ {
		answered := 0
		for _, what := range []string{"body " + fmt.Sprint(n), "TryLater", "Aborted", "Invalid"} { // errors count: another client may use the same id
			answered += answers[fmt.Sprintf("%d: %s", n, what)]
		}
		if served += answers[fmt.Sprintf("%d: body %d", n, n)]; answered != 1 {
			t.Errorf("request %d has %d answers", n, answered)
		}
	}
	if served == 0 {
		t.Errorf("no request was served: %v", answers)
	}
}

// Requests that are open on a connection get exactly one answer each, whatever invalid input follows them.
func TestBadInputBehindOpenRequests(t *testing.T) {
	const open = 5
	for name, bad := range map[string]func(c *testClient){
		"noise":          func(c *testClient) { c.conn.Write([]byte{0xc1, 0xff, 0}) },
		"a number twice": func(c *testClient) { c.sendRequest(open, "again", withID(255)...) },
		"wrong messages": func(c *testClient) {
			for n := range tolerableFaults + 1 {
				c.sendRequest(100+n, "unknown")
			}
		},
		"a body of 60 MB": func(c *testClient) { c.conn.Write([]byte{0x94, 0, 100, 0xa1, 'x', 0x92, 0x80, 0xc6, 3, 0x93, 0x87, 0}) },
	} {
		server, _ := holdingServer(t)
		r := start(t, server)
		c, routerConn := r.dialHooked(t, ignoreReads)
		for n := 1; n <= open; n++ {
			c.sendRequest(n, "again")
		}
		platformtest.WaitFor(t, "all are open", func() bool { return routerConn.openRequestCount() == open })
		bad(c)
		c.conn.(*net.TCPConn).CloseWrite()
		answers := map[string]int{}
		for what := c.receive(); what != "closed"; what = c.receive() {
			answers[what]++
		}
		for n := 1; n <= open; n++ {
			if answers[fmt.Sprintf("%d: Aborted", n)] != 1 {
				t.Errorf("%s: request %d: %v", name, n, answers)
			}
		}
	}
}
