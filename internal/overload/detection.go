package overload

import (
	"hollymast/control"
)

// The conditions of an overload, over the last second.
const (
	minRequests      = 30.0 // fewer cannot overload anything
	minRetryShare    = 0.35 // of all requests; without faults it is a few percent, with three attempts each
	baselineFactor   = 1.5  // ratio of all requests to the usual first attempts, and to the answers
	minConnections   = 50.0 // opened
	connectionFactor = 5.0  // ratio of opened connections to the usual ones
	dominantShare    = 0.6  // of the retries, for one tenant to be the only cause
	recoveryFactor   = 2.0  // ratio of answers to rejections for a recovery
)

// quietPeriod is how long no condition may hold before an overload has ended. It is longer than clients wait between
// two attempts.
const quietPeriod = control.Micros(2_000_000)

// classify begins an overload, changes its kind, or ends it.
func (c *Controller) classify(now control.Micros) {
	kind := c.detect(now)
	switch {
	case kind != None && c.kind == None:
		c.beginOverload(now, kind)
	case kind != None:
		c.quietSince = 0
		if kind != c.kind && c.kind != AfterStall {
			c.logf("the storm changed to: %s", kind)
			c.kind = kind
		}
	case c.kind != None && c.quietSince == 0:
		c.quietSince = now
	case c.kind != None && now >= c.quietSince+quietPeriod:
		c.logf("the storm (%s) ended after %d ms", c.kind, (now-c.since)/1000)
		c.kind, c.quietSince = None, 0
		clear(c.retryAt)
	}
}

// detect returns the kind of overload whose conditions hold now.
func (c *Controller) detect(now control.Micros) Kind {
	sum := c.window.lastSecond()
	requests := sum.requests()
	overQuota := c.updateOverQuota(now)
	retrying := requests >= minRequests && sum.retries >= minRetryShare*requests &&
		requests >= baselineFactor*max(c.baseline.firstAttempts, sum.answered)
	switch {
	case overQuota || retrying && c.dominantRetryShare(now) >= dominantShare && len(c.tenants) > 1:
		return TenantStorm
	case retrying && sum.answered > recoveryFactor*sum.rejected && c.kind != None:
		return RecoveryStorm
	case retrying:
		return RetryStorm
	case sum.connections >= minConnections && sum.connections >= connectionFactor*c.baseline.connections && c.baseline.connections > 0:
		return ConnectionStorm
	}
	return None
}

// beginOverload begins an overload.
func (c *Controller) beginOverload(now control.Micros, kind Kind) {
	sum := c.window.lastSecond()
	c.kind, c.since, c.quietSince = kind, now, 0
	c.logf("a storm: %s; %.0f first attempts and %.0f retries in the last second, baseline %.0f; %.0f answered", kind, sum.firstAttempts,
		sum.retries, c.baseline.firstAttempts, sum.answered)
}
