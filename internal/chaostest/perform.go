package chaostest

import (
	"context"
	"time"

	"hollymast/internal/invariant"
)

// perform has one client make a call, as its behavior is. It reports whether the call succeeded within its latency objective.
func (h *harness) perform(ctx context.Context, c call) (inTime bool) {
	switch behavior := h.scenario.ClientBehavior; {
	case c.noisyTenant:
		return h.performBlindly(ctx, c)
	case behavior == ClientsWithLibrary || behavior == ClientsMixed && c.number%2 == 0:
		return h.performWithLibrary(ctx, c)
	case behavior == ClientsBlind || behavior == ClientsMixed:
		return h.performBlindly(ctx, c)
	}
	return h.performUsually(ctx, c)
}

// Bounds of retries.
const (
	maxUsualRequests    = 3
	minUsualTimeout     = 20 * time.Millisecond // no request is made with less time left
	maxBlindRequests    = 200                   // more than a deadline allows
	minBlindTimeout     = 50 * time.Millisecond // with six thousand requests per second, a full machine delays an immediate answer by up to 25 ms
	blindRetryInterval  = 50 * time.Millisecond // a program's own loop, and what one machine bears
	stickyRetryInterval = 50 * time.Millisecond // to a router that restarts
)

// usualClient is a client that retries as the class of its call and the responses allow.
type usualClient struct {
	h            *harness
	call         call
	startedAt    time.Time
	router       int       // that is asked next
	mayHaveRunAt time.Time // when the first request began that may have run; zero: none
	sticky       bool      // only the router that was asked knows whether the request may run again
}

// retry says whether there is another request, and how long to wait before it.
type retry struct {
	allowed bool
	after   time.Duration
}

// performUsually makes a call with a few requests at most, but as many as it takes for a router that restarts.
func (h *harness) performUsually(ctx context.Context, c call) (inTime bool) {
	client := &usualClient{h: h, call: c, startedAt: time.Now(), router: c.router}
	for n := 1; n <= maxUsualRequests || client.sticky; n++ {
		timeout := c.timeout - time.Since(client.startedAt)
		if timeout < minUsualTimeout || ctx.Err() != nil {
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
		next := client.retry(r, timeout)
		if !next.allowed || sleep(ctx, next.after) != nil {
			return false
		}
	}
	return false
}

func (u *usualClient) isInTime() bool {
	return time.Since(u.startedAt) <= u.call.workload.latencyObjective
}

// retry decides about another request after a response that wasn't a success; timeout was that of the request.
func (u *usualClient) retry(r response, timeout time.Duration) retry {
	w := u.call.workload
	next := retry{allowed: true}
	switch {
	case u.call.abandonAfter > 0:
		return retry{}
	case r.notSent && u.sticky: // the router isn't back yet
	case r.notSent:
		u.nextRouter()
	case r.connectionBroken && w.effect == effectNonIdempotent && u.h.scenario.keepsRouterState():
		u.sticky, next.after = true, stickyRetryInterval
	case r.answer == invariant.Rejected:
		next.after = r.retryAfter
	case r.mayHaveRun:
		if !u.mayRunTwice(timeout) {
			return retry{}
		}
		u.nextRouter()
	default:
		return retry{}
	}
	if u.call.impatient {
		next.after = 0
	}
	return next
}

// mayRunTwice reports whether a request may be made again at any router though it may have run.
func (u *usualClient) mayRunTwice(timeout time.Duration) bool {
	w := u.call.workload
	switch {
	case w.effect == effectNonIdempotent || w.scope == scopeZone:
		return false
	case w.effect == effectIdempotentByKey:
		return time.Since(u.mayHaveRunAt)+timeout <= w.window
	}
	return true
}

func (u *usualClient) nextRouter() { u.router = (u.router + 1) % len(u.h.addresses) }

// performBlindly makes a call with requests that all look like first ones, to any router and almost at once, until its deadline.
// It doesn't repeat what may have run unless that is idempotent: the invariants would blame the routers for it.
func (h *harness) performBlindly(ctx context.Context, c call) (inTime bool) {
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
