package chaostest

import (
	"context"
	"time"

	"hollymast/internal/invariant"
)

// perform makes a call as the client behavior of the scenario says. It reports whether the call succeeded within its latency
// objective.
func (h *harness) perform(ctx context.Context, c call) (inTime bool) {
	switch behavior := h.scenario.ClientBehavior; {
	case c.noisyTenant:
		return h.performBlind(ctx, c)
	case behavior == ClientsWithLibrary || behavior == ClientsMixed && c.number%2 == 0:
		return h.performWithLibrary(ctx, c)
	case behavior == ClientsBlind || behavior == ClientsMixed:
		return h.performBlind(ctx, c)
	}
	return h.performBasic(ctx, c)
}

// Limits of retries.
const (
	maxBasicRequests = 3
	minBasicTimeout  = 20 * time.Millisecond // no request is made with less time left
	maxBlindRequests = 200                   // more than a deadline allows
	// minBlindTimeout is the time left below which no request is made. An answer that the router gives immediately takes up to 25 ms on a
	// machine fully loaded with 6000 requests per second, and would be late with less time left.
	minBlindTimeout     = 50 * time.Millisecond
	blindRetryInterval  = 50 * time.Millisecond // as in an application's own retry loop, and no shorter than one machine can handle
	stickyRetryInterval = 50 * time.Millisecond // while the router restarts
)

// basicClient makes one call, with retries as the call's workload and the responses allow.
type basicClient struct {
	harness      *harness
	call         call
	startedAt    time.Time
	router       int       // that the next request goes to
	mayHaveRunAt time.Time // when the first request that may have run was sent; zero: none
	sticky       bool      // retries go to the same router, which alone knows whether the request may run again
}

// retryDecision says whether to send another request, and how long to wait before that.
type retryDecision struct {
	allowed bool
	after   time.Duration
}

// performBasic makes a call with at most maxBasicRequests requests, or with as many as it takes until a restarting router answers.
func (h *harness) performBasic(ctx context.Context, c call) (inTime bool) {
	client := &basicClient{harness: h, call: c, startedAt: time.Now(), router: c.router}
	for n := 1; n <= maxBasicRequests || client.sticky; n++ {
		timeout := c.timeout - time.Since(client.startedAt)
		if timeout < minBasicTimeout || ctx.Err() != nil {
			return false
		}
		sentAt := time.Now()
		r := h.send(ctx, c, client.router, n, timeout)
		if client.sticky && !r.notSent {
			h.countRestartRetry(r.answer)
			return r.answer == invariant.Succeeded && client.isInTime()
		}
		if r.answer == invariant.Succeeded {
			return client.isInTime()
		}
		if r.mayHaveRun && client.mayHaveRunAt.IsZero() {
			client.mayHaveRunAt = sentAt
		}
		next := client.decideRetry(r, timeout)
		if !next.allowed || sleep(ctx, next.after) != nil {
			return false
		}
	}
	return false
}

func (c *basicClient) isInTime() bool {
	return time.Since(c.startedAt) <= c.call.workload.latencyObjective
}

// decideRetry decides whether to send another request after a response other than a success to a request with this timeout.
func (c *basicClient) decideRetry(r response, timeout time.Duration) retryDecision {
	w := c.call.workload
	next := retryDecision{allowed: true}
	switch {
	case c.call.abandonAfter > 0:
		return retryDecision{}
	case r.notSent && c.sticky: // the router isn't back yet
	case r.notSent:
		c.nextRouter()
	case r.connectionBroken && w.effect == effectNonIdempotent && c.harness.scenario.persistsRouterState():
		c.sticky, next.after = true, stickyRetryInterval
	case r.answer == invariant.Rejected:
		next.after = r.retryAfter
	case r.mayHaveRun:
		if !c.mayRunTwice(timeout) {
			return retryDecision{}
		}
		c.nextRouter()
	default:
		return retryDecision{}
	}
	if c.call.impatient {
		next.after = 0
	}
	return next
}

// mayRunTwice reports whether a request that may have run may be sent again, to any router.
func (c *basicClient) mayRunTwice(timeout time.Duration) bool {
	w := c.call.workload
	switch {
	case w.effect == effectNonIdempotent || w.scope == scopeZone:
		return false
	case w.effect == effectIdempotentByKey:
		return time.Since(c.mayHaveRunAt)+timeout <= w.window
	}
	return true
}

func (c *basicClient) nextRouter() { c.router = (c.router + 1) % len(c.harness.addresses) }

// performBlind makes a call and retries it until its deadline, almost immediately, at any router and without retry headers. It
// repeats a request that may have run only if that is idempotent, because a second run would count as a violation by the routers.
func (h *harness) performBlind(ctx context.Context, c call) (inTime bool) {
	startedAt := time.Now()
	c.omitRetryHeaders = true
	for n := 1; n <= maxBlindRequests; n++ {
		timeout := c.timeout - time.Since(startedAt)
		if timeout < minBlindTimeout || ctx.Err() != nil {
			return false
		}
		r := h.send(ctx, c, (c.router+n)%len(h.addresses), n, timeout)
		if r.answer == invariant.Succeeded {
			return time.Since(startedAt) <= c.workload.latencyObjective
		}
		if r.mayHaveRun && c.workload.effect != effectIdempotent {
			return false
		}
		if sleep(ctx, blindRetryInterval) != nil {
			return false
		}
	}
	return false
}
