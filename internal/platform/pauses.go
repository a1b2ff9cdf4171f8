package platform

import (
	"time"

	"hollymast/internal/pacing"
)

// pace waits until the next message may be read. It returns false if the client has closed the connection meanwhile: what it
// had sent before has no effect any more.
func (c *clientConn) pace() bool {
	left := false
	pacing.Pause(c.pacer.Settle(time.Now()), func() bool {
		if c.mustReadNow() {
			return true
		}
		left = c.tracked.peerClosed()
		return left
	})
	if left {
		c.setCloseReason(clientCloseByClient)
	}
	return !left
}

// mustReadNow reports whether the connection is about to end, so that pauses would leave input unread.
func (c *clientConn) mustReadNow() bool {
	if c.input.finished || c.router.listenerClosing() {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pastReadTime()
}
