package platform

import (
	"testing"
	"time"

	"hollymast/control"
	"hollymast/internal/platformtest"
)

// TestAttemptOfClosedClientIsNotWritten guards against an attempt that is written because its client's input was processed a moment ago,
// although the client has closed the connection since and the reader has not processed that.
func TestAttemptOfClosedClientIsNotWritten(t *testing.T) {
	r := idleRouter(t)
	routerConn, peerConn := platformtest.ConnPair(t)
	c := r.newClient(routerConn)
	req := &request{client: c}
	call := &serverCall{router: r, request: req, writeBefore: r.loop.Now() + 1_000_000}
	c.tracked.allProcessed, c.tracked.processedUpTo = true, time.Now().Add(time.Hour)
	if !call.canWrite() {
		t.Fatal("not written although the client is there")
	}
	call = &serverCall{router: r, request: req, writeBefore: r.loop.Now() + 1_000_000}
	peerConn.Close()
	platformtest.WaitFor(t, "the close arrives", c.tracked.peerClosed)
	if call.canWrite() {
		t.Error("written after the client had closed")
	}
}

// TestRepeatedIDIsNotSentAgain guards against a request that runs twice because it comes again under its id after its client has left, or
// after it was answered.
func TestRepeatedIDIsNotSentAgain(t *testing.T) {
	for class, mayRunAgain := range map[string]bool{"once": false, "marked": false, "again": true} {
		for how, end := range map[string]func(c *testClient, held chan receivedAttempt){
			"closed":    func(c *testClient, held chan receivedAttempt) { <-held; c.conn.Close() },
			"cancelled": func(c *testClient, held chan receivedAttempt) { <-held; c.sendCancel(1) },
			"answered":  func(c *testClient, held chan receivedAttempt) { echo(<-held); c.expect("1: body 1") },
		} {
			t.Run(class+" "+how, func(t *testing.T) {
				t.Parallel()
				server, held := holdingServer(t)
				r := start(t, server)
				key := []string{"replay", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"}
				first, second := r.dial(t), r.dial(t)
				first.sendRequest(1, class, key...)
				end(first, held)
				platformtest.WaitFor(t, "the request has ended", func() bool {
					requests := make(chan int)
					r.loop.Post(func(control.Micros) { requests <- len(r.requests) })
					return <-requests == 0
				})
				second.sendRequest(1, class, key...)
				if mayRunAgain {
					echo(<-held)
					second.expect("1: body 1")
					return
				}
				second.expect("1: Aborted")
				select {
				case <-held:
					t.Error("it was sent again")
				case <-time.After(50 * time.Millisecond):
				}
			})
		}
	}
}
