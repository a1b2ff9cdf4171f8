package platform

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"hollymast/control"
)

// pacer limits how fast messages without effect are read from one connection; see control.ClientRate. The connection's reader
// owns it, except for owed.
type pacer struct {
	limits control.ClientRate
	shared *rate.Limiter // of all connections
	own    *rate.Limiter
	owed   atomic.Int64 // cost of the messages without effect that were not paced yet
	// exceeded is set once the connection has to wait for the shared rate, and until half of its burst is available again.
	// Its further requests are rejected, since each may have been cancelled by a message that is not read yet.
	exceeded bool
}

// newSharedRate returns the limiter that all connections share.
func newSharedRate(limits control.ClientRate) *rate.Limiter {
	const burstTime = 0.1 // seconds
	return rate.NewLimiter(rate.Limit(limits.SharedPerSecond), max(1, int(burstTime*limits.SharedPerSecond)))
}

// init prepares a pacer.
func (p *pacer) init(limits control.ClientRate, shared *rate.Limiter) {
	p.limits, p.shared = limits, shared
	p.own = rate.NewLimiter(rate.Limit(limits.PerSecond), limits.Burst)
}

// charge counts a message without effect of the given size. Any goroutine may call it.
func (p *pacer) charge(bytes int) { p.owed.Add(int64(p.limits.MessageCost(bytes))) }

// settle pays for what was charged, first from the connection's own rate, and returns how long to wait before the next
// message is read.
func (p *pacer) settle(now time.Time) (wait time.Duration) {
	owed := int(p.owed.Swap(0))
	available := int(p.own.TokensAt(now))
	fromOwn := max(0, min(owed, available))
	p.own.AllowN(now, fromOwn)
	owed -= fromOwn
	for owed > 0 {
		part := min(owed, p.shared.Burst())
		wait = p.shared.ReserveN(now, part).DelayFrom(now)
		owed -= part
	}
	p.exceeded = wait > 0 || p.exceeded && available < p.limits.Burst/2
	return wait
}

// maxPause is the longest sleep of a reader: in between it looks whether its client has left or the connection must end.
const maxPause = 20 * time.Millisecond

// pace waits until the next message may be read. It returns false if the client has closed the connection meanwhile: what it
// had sent before has no effect any more.
func (c *clientConn) pace() bool { return c.pause(c.pacer.settle(time.Now())) }

// pause waits, but not while the last input is read. It returns false if the client has closed the connection.
func (c *clientConn) pause(wait time.Duration) bool {
	for wait > 0 && !c.mustReadNow() {
		if c.tracked.peerClosed() {
			c.setCloseReason(clientCloseByClient)
			return false
		}
		part := min(wait, maxPause)
		time.Sleep(part)
		wait -= part
	}
	return true
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
