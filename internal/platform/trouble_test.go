package platform

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/binframe"
	"hollymast/internal/fleet"
	"hollymast/internal/msgrpc"
	"hollymast/internal/platformtest"
)

// Whatever goes wrong at the only server, each request has its one final answer in time.
func TestServerFaultsLeaveOneAnswerEach(t *testing.T) {
	type serve func(c net.Conn)
	do := func(act func(a receivedFrame)) serve { // act on each request
		return func(c net.Conn) {
			for in := bufio.NewReader(c); ; {
				f, err := platformtest.ReadFrame(in)
				if err != nil {
					return
				}
				if f.Code == platformtest.AttemptCode {
					act(receivedFrame{f.Code, f.ID, f.Fields, f.Body, 0, c})
				}
			}
		}
	}
	ways := map[string]serve{
		"silent":           do(func(receivedFrame) {}),
		"reads nothing":    func(net.Conn) { <-t.Context().Done() },
		"closes at once":   func(net.Conn) {},
		"another's answer": do(func(a receivedFrame) { a.conn.Write(a.answer(97, a.id+1, "x")) }),
		"half and silent":  do(func(a receivedFrame) { b := a.answer(97, a.id, "x"); a.conn.Write(b[:len(b)/2]) }),
		"resets": do(func(a receivedFrame) {
			a.conn.(*net.TCPConn).SetLinger(0)
			a.conn.Close()
		}),
	}
	for name, spoil := range corruptAnswers {
		ways["spoilt: "+name] = do(spoil)
	}
	for name, way := range ways {
		for _, links := range []int{0, 1} { // as many connections as are wanted; one for all
			t.Run(fmt.Sprintf("%s, links %d", name, links), func(t *testing.T) {
				t.Parallel()
				r := startChanged(t, func(p *Router) {
					longGrace(p)
					if links > 0 {
						p.maxServerConns = links
					}
					p.calls.dial = func(ctx context.Context, address string) (net.Conn, error) {
						conn, err := systemCalls.dial(ctx, address)
						if err == nil {
							conn.(*net.TCPConn).SetWriteBuffer(2048) // holds less than one request
						}
						return conn, err
					}
				}, listenNarrow(t, way))
				const clients, each = 6, maxOpenPerClient
				var callers []*testClient
				begun := time.Now()
				for i := range clients {
					c := r.dial(t)
					callers = append(callers, c)
					go func() {
						for n := 1; n <= each; n++ {
							c.send(0, n, []string{"again", "once"}[n%2], []any{map[string]string{"ref": fmt.Sprintf("%016x", i*each+n),
								"allow": fmt.Sprint(clientTimeout.Milliseconds()), "project": "acme", "lookup": "7f3a9c21e0b4d655",
								"spec": "memory_mb:512;lanes:2"}, make([]byte, msgrpc.MaxBody)})
						}
					}()
				}
				for _, c := range callers {
					answers := map[any]int{}
					for len(answers) < each {
						v, err := c.dec.DecodeSlice()
						if err != nil {
							t.Fatalf("%d of %d answered: %v", len(answers), each, err)
						}
						answers[fmt.Sprint(v[1])]++
					}
					if took := time.Since(begun); took > clientTimeout+500*time.Millisecond {
						t.Errorf("the last answer came after %v", took)
					}
					c.conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
					if v, err := c.dec.DecodeSlice(); err == nil {
						t.Errorf("a further answer: %v", v[1])
					}
				}
			})
		}
	}
}

// A server's write queue that overflows ends all that is queued on it, provably never sent.
func TestWriteQueueOverflowEndsQueuedCalls(t *testing.T) {
	p := idleRouter(t)
	p.maxServerConns = 1
	p.calls.dial = func(ctx context.Context, _ string) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() }
	p.handleEndpoints(p.now(), []fleet.Endpoint{{Name: "s-0", Address: "127.0.0.1:1", Zone: "east", State: control.Ready}})
	id := fleet.ID("s-0")
	var all []*serverCall
	for n := range 3 {
		s := p.newCall(id, 1_000_000)
		s.load, s.id = control.LoadCommand{Server: id}, binframe.ID(n+1)
		p.dispatch(p.now(), s, make([]byte, maxUnreadByServer*2/5)) // two of them have room
		all = append(all, s)
	}
	waitFor(t, "all have ended", func() bool {
		p.step(p.now(), p.queue.Drain(nil))
		return !slices.ContainsFunc(all, func(s *serverCall) bool { return !s.progress.Ended })
	})
	for _, s := range all {
		if s.currentStage() == attempt.Writing {
			t.Error("one was written")
		}
	}
}
