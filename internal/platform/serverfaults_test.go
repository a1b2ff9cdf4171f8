package platform

import (
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

// Whatever goes wrong at the only server, each request gets exactly one final answer in time.
func TestServerFaultsLeaveOneAnswerEach(t *testing.T) {
	type handler = func(net.Conn)
	faults := map[string]handler{
		"silent":           attemptHandler(func(receivedAttempt) {}),
		"reads nothing":    func(net.Conn) { <-t.Context().Done() },
		"closes at once":   func(net.Conn) {},
		"another's answer": attemptHandler(func(a receivedAttempt) { a.conn.Write(a.answerFrame(codeOK, a.ID+1, "x")) }),
		"half and silent":  attemptHandler(func(a receivedAttempt) { b := a.answerFrame(codeOK, a.ID, "x"); a.conn.Write(b[:len(b)/2]) }),
		"resets": attemptHandler(func(a receivedAttempt) {
			a.conn.(*net.TCPConn).SetLinger(0)
			a.conn.Close()
		}),
	}
	for name, corrupt := range corruptAnswers {
		faults["corrupt: "+name] = attemptHandler(corrupt)
	}
	for name, fault := range faults {
		for _, connections := range []int{0, 1} { // 0: as many connections as needed; 1: a single connection
			t.Run(fmt.Sprintf("%s, connections %d", name, connections), func(t *testing.T) {
				t.Parallel()
				r := startWith(t, func(r *Router) {
					longGrace(r)
					if connections > 0 {
						r.maxServerConns = connections
					}
					r.connFuncs.dial = func(ctx context.Context, address string) (net.Conn, error) {
						conn, err := defaultConnFuncs.dial(ctx, address)
						if err == nil {
							conn.(*net.TCPConn).SetWriteBuffer(2048) // smaller than one request
						}
						return conn, err
					}
				}, listenSmallBuffer(t, fault))
				const clients, each = 6, maxOpenPerClient
				var callers []*testClient
				began := time.Now()
				for i := range clients {
					c := r.dial(t)
					callers = append(callers, c)
					go func() {
						for n := 1; n <= each; n++ {
							c.sendMessage(0, n, []string{"again", "once"}[n%2], []any{requestFields(i*each + n), make([]byte, msgrpc.MaxBody)})
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
					if took := time.Since(began); took > clientTimeout+500*time.Millisecond {
						t.Errorf("the last answer came after %v", took)
					}
					for number, n := range answers {
						if n != 1 {
							t.Errorf("request %v has %d answers", number, n)
						}
					}
				}
				for _, c := range callers { // separately, so that this wait does not count towards the time to an answer
					c.conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
					if v, err := c.dec.DecodeSlice(); err == nil {
						t.Errorf("request %v was answered again", v[1])
					}
				}
			})
		}
	}
}

// When the write queue of a server connection overflows, all calls queued on it end; they were provably never sent.
func TestWriteQueueOverflowEndsQueuedCalls(t *testing.T) {
	r := idleRouter(t)
	r.maxServerConns = 1
	r.connFuncs.dial = func(ctx context.Context, _ string) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() }
	r.listServer(r.loop.Now(), unreachable, control.Ready)
	id := fleet.ID("s-0")
	var calls []*serverCall
	for n := range 3 {
		call := r.newCall(id, 1_000_000)
		call.load, call.id = control.LoadCommand{Server: id}, binframe.ID(n+1)
		r.dispatch(r.loop.Now(), call, make([]byte, maxUnreadByServer*2/5)) // two of them fit
		calls = append(calls, call)
	}
	platformtest.WaitFor(t, "all have ended", func() bool {
		r.step(r.loop.Now(), r.loop.Drain())
		return !slices.ContainsFunc(calls, func(call *serverCall) bool { return !call.progress.Ended })
	})
	for _, call := range calls {
		if call.currentStage() == attempt.Writing {
			t.Error("a call was written")
		}
	}
}
