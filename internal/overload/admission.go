package overload

import (
	"hollymast/control"
)

// Admission during an overload. First attempts are admitted: they are demand, and package control loads instances only for demand that it
// sees (to admit no more than servers had just answered starved a fleet that had to load: docs/overload.md). Retries after the pause that
// they were given are admitted too. Retries without a pause, or without an idempotency key to tell that by, have a budget of a tenth of
// their tenant's first attempts.
const (
	retryTokensPerRequest = 0.1
	maxRetryTokens        = 5.0
	earlyTolerance        = control.Micros(50_000) // more than clients' clocks and the network differ by
	maxKeys               = 100_000                // some 4 MB; rejected requests beyond that are not told apart
)

// Request is a request on arrival.
type Request struct {
	Tenant   control.TenantID
	IsRetry  bool   // as its client says
	KeyHash  uint64 // hash of its idempotency key; 0: it has none
	Function control.FunctionID
	Priority float64 // of its class
}

// Decision says whether a request is admitted.
type Decision struct {
	Admitted   bool
	Reason     Kind           // of a rejection
	RetryAfter control.Micros // of a rejection: the pause before the next attempt, different for each request
}

// Admit counts a request and decides whether it is admitted.
func (c *Controller) Admit(now control.Micros, r Request) Decision {
	c.advance(now)
	d := c.decide(now, r)
	if d.Admitted {
		c.window.current.admitted++
	}
	return d
}

func (c *Controller) decide(now control.Micros, r Request) Decision {
	t := c.tenant(now, r.Tenant)
	c.count(now, r, t)
	if c.kind == TenantStorm && t.overQuota && !c.takeQuotaToken(now, r.Tenant, t) {
		return c.reject(now, 0)
	}
	returnAt, rejectedBefore := c.returnAt[r.KeyHash]
	rejectedBefore = rejectedBefore && r.KeyHash != 0
	switch {
	case c.kind == None || c.kind == ConnectionStorm:
		return Decision{Admitted: true}
	case !rejectedBefore && c.shedder.sheds(now, r.Priority, r.Function):
		return c.reject(now, r.KeyHash)
	case !r.IsRetry && !rejectedBefore:
		return Decision{Admitted: true}
	case rejectedBefore && now < returnAt-earlyTolerance:
		// The time that it was given stands: to put it off would punish the next attempt, which will be in time.
		c.window.current.rejected++
		return Decision{Reason: c.kind, RetryAfter: returnAt - now}
	case rejectedBefore:
		delete(c.returnAt, r.KeyHash)
		return Decision{Admitted: true}
	case t.retryTokens < 1:
		return c.reject(now, r.KeyHash)
	}
	t.retryTokens--
	return Decision{Admitted: true}
}

// count counts a request on arrival. A first attempt adds to its tenant's retry budget.
func (c *Controller) count(now control.Micros, r Request, t *tenantState) {
	t.countRequest(now)
	if r.IsRetry {
		c.window.current.retries++
		t.retries++
		return
	}
	c.window.current.firstAttempts++
	t.retryTokens = min(maxRetryTokens, t.retryTokens+retryTokensPerRequest)
}

func (c *Controller) reject(now control.Micros, keyHash uint64) Decision {
	return Decision{Reason: c.kind, RetryAfter: c.assignRetryAfter(now, c.maxRetryAfter, keyHash)}
}

// RecordRejection counts a rejection by package control, with its pause, and returns the pause that the client is given: in an overload a
// different one for each request.
func (c *Controller) RecordRejection(now, retryAfter control.Micros, keyHash uint64) control.Micros {
	c.advance(now)
	if c.kind == None || retryAfter == 0 {
		c.window.current.rejected++
		return retryAfter
	}
	return c.assignRetryAfter(now, retryAfter, keyHash)
}

// assignRetryAfter counts a rejection and draws its pause from the later half of the longest one, so that requests that were rejected
// together don't return together. The time is remembered for requests with an idempotency key.
func (c *Controller) assignRetryAfter(now, longest control.Micros, keyHash uint64) control.Micros {
	c.window.current.rejected++
	pause := max(1, longest/2+control.Micros(c.random.Int64N(max(1, int64(longest/2)))))
	if keyHash == 0 {
		return pause
	}
	if len(c.returnAt) >= maxKeys {
		c.pruneReturns(now)
	}
	if len(c.returnAt) < maxKeys {
		c.returnAt[keyHash] = now + pause
	}
	return pause
}

// pruneReturns forgets the rejected requests whose time to return has passed.
func (c *Controller) pruneReturns(now control.Micros) {
	for keyHash, at := range c.returnAt {
		if at < now {
			delete(c.returnAt, keyHash)
		}
	}
}
