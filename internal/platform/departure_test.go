package platform

import (
	"testing"
	"time"

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
