package platform

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"
)

// Trouble with one client, or on its connection, frees no request of its one final answer. Each test here makes one kind.

// Several kinds of bad clients at once cost a well-behaved one none of its answers.
func TestBadClientsDoNotAffectOthers(t *testing.T) {
	const requests = 40
	r := start(t, newDiscoveryServer(t, 1), modelServer(t, echo))
	usual := r.dial(t)
	end := make(chan struct{})
	var all sync.WaitGroup
	for name, harm := range map[string]func(c *testClient, n int){
		"noise":            func(c *testClient, _ int) { c.conn.Write([]byte{0xc1, 0xff, 0}) },
		"unknown classes":  func(c *testClient, n int) { c.call(n, "unheard") },
		"a number twice":   func(c *testClient, _ int) { c.call(1, "again", "ref", "00000000000000ff") },
		"another's ref":    func(c *testClient, n int) { c.call(n, "again", "ref", fmt.Sprintf("%016x", 1+n%requests)) },
		"half and a close": func(c *testClient, _ int) { c.conn.Write([]byte{0x94, 0, 1}); c.conn.Close() },
		"cancels at once": func(c *testClient, n int) {
			c.call(2*n, "again", "ref", fmt.Sprintf("%016x", 1<<20+n))
			c.send(2, "forget", []any{2 * n})
		},
		"leaves at once":    func(c *testClient, n int) { c.call(n, "again", "ref", fmt.Sprintf("%016x", 1<<30+n)); c.conn.Close() },
		"reads nothing":     func(c *testClient, n int) { c.call(n, "unheard") },
		"asks for too many": func(c *testClient, n int) { c.call(n, "again", "ref", fmt.Sprintf("%016x", 1<<40+n)) },
	} {
		all.Go(func() {
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
					harm(c, n)
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
		usual.call(n, "again")
		time.Sleep(5 * time.Millisecond)
	}
	for range requests {
		answers[usual.receive()]++
	}
	close(end)
	all.Wait()
	served := 0
	for n := 1; n <= requests; n++ {
		one := 0
		for _, what := range []string{"body " + fmt.Sprint(n), "TryLater", "Aborted", "Invalid"} { // the ref may be another's that is open
			one += answers[fmt.Sprintf("%d: %s", n, what)]
		}
		if served += answers[fmt.Sprintf("%d: body %d", n, n)]; one != 1 {
			t.Errorf("request %d has %d answers", n, one)
		}
	}
	if served == 0 {
		t.Errorf("none was served: %v", answers)
	}
}

// What is open on a connection that turns bad has one answer each, whatever is wrong behind it.
func TestBadInputBehindOpenRequests(t *testing.T) {
	const open = 5
	for name, bad := range map[string]func(c *testClient){
		"noise":          func(c *testClient) { c.conn.Write([]byte{0xc1, 0xff, 0}) },
		"a number twice": func(c *testClient) { c.call(open, "again", "ref", "00000000000000ff") },
		"wrong messages": func(c *testClient) {
			for n := range tolerableFaults + 1 {
				c.call(100+n, "unheard")
			}
		},
		"a body of 60 MB": func(c *testClient) { c.conn.Write([]byte{0x94, 0, 100, 0xa1, 'x', 0x92, 0x80, 0xc6, 3, 0x93, 0x87, 0}) },
	} {
		held := make(chan receivedFrame, 4*open)
		r := start(t, newDiscoveryServer(t, 1), modelServer(t, func(a receivedFrame) { held <- a }))
		c, ours := r.dialHooked(t, func(*testClient, int, error) {})
		for n := 1; n <= open; n++ {
			c.call(n, "again")
		}
		waitFor(t, "all are open", func() bool {
			ours.mu.Lock()
			defer ours.mu.Unlock()
			return len(ours.open) == open
		})
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
