// Package pacing limits how fast a service reads what has no effect from its clients: each connection has a rate of its own, and all
// share one for what is beyond; see control.ClientRate. It is shared by the platform's router and the gateway.
package pacing

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"hollymast/control"
)

// Shared is the rate that all connections of a service share. It is safe for concurrent use.
type Shared struct {
	limits  control.ClientRate
	limiter *rate.Limiter
}

// NewShared returns the shared rate of a service that may use a number of cores; 0 means that this is not known.
func NewShared(cores float64) *Shared { return newShared(control.ClientRateFor(cores)) }

func newShared(limits control.ClientRate) *Shared {
	const burstTime = 0.1 // seconds
	return &Shared{limits, rate.NewLimiter(rate.Limit(limits.SharedPerSecond), max(1, int(burstTime*limits.SharedPerSecond)))}
}

// Limits returns the limits.
func (s *Shared) Limits() control.ClientRate { return s.limits }

// SetRate sets the shared rate, in messages per second.
func (s *Shared) SetRate(perSecond float64) { s.limiter.SetLimit(rate.Limit(perSecond)) }

// Pacer limits one connection. The goroutine that reads the connection owns it, except that any goroutine may call Charge.
type Pacer struct {
	shared *Shared
	own    *rate.Limiter
	owed   atomic.Int64 // cost of the messages without effect that were not paid for yet
	// exceeded is set once the connection has to wait for the shared rate, and until half of its burst is available again.
	exceeded bool
}

// New returns a pacer for a new connection.
func New(shared *Shared) *Pacer {
	return &Pacer{shared: shared, own: rate.NewLimiter(rate.Limit(shared.limits.PerSecond), shared.limits.Burst)}
}

// Charge counts a message without effect of the given size in bytes.
func (p *Pacer) Charge(size int) { p.owed.Add(int64(p.shared.limits.MessageCost(size))) }

// Exceeded reports whether the connection sends more than is read. Its further requests should be rejected, since each may have
// been cancelled by a message that is not read yet.
func (p *Pacer) Exceeded() bool { return p.exceeded }

// Settle pays for what was charged, first from the connection's own rate, and returns how long to wait before the next message
// is read.
func (p *Pacer) Settle(now time.Time) (wait time.Duration) {
	owed := int(p.owed.Swap(0))
	available := int(p.own.TokensAt(now))
	fromOwn := max(0, min(owed, available))
	p.own.AllowN(now, fromOwn)
	owed -= fromOwn
	for owed > 0 {
		part := min(owed, p.shared.limiter.Burst())
		wait = p.shared.limiter.ReserveN(now, part).DelayFrom(now)
		owed -= part
	}
	p.exceeded = wait > 0 || p.exceeded && available < p.shared.limits.Burst/2
	return wait
}

// maxSleep is the longest sleep of Pause between two calls of interrupted.
const maxSleep = 20 * time.Millisecond

// Pause sleeps for a duration, or until interrupted returns true.
func Pause(duration time.Duration, interrupted func() bool) {
	for duration > 0 && !interrupted() {
		part := min(duration, maxSleep)
		time.Sleep(part)
		duration -= part
	}
}
