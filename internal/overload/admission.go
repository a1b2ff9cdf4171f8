package overload

import (
	"hollymast/control"
)

// Admission during an overload. First attempts are admitted: they are demand, and package control loads instances only
// for demand that it sees. If no more requests were admitted than servers have just answered, a fleet that has to load
// would get too few requests to do so (docs/overload.md). Retries that waited for their Retry-After are admitted too.
// Retries that did not wait, or that have no idempotency key by which that could be checked, have a budget of a tenth of
// their tenant's first attempts.
const (
	retryTokensPerRequest = 0.1
	maxRetryTokens        = 5.0
	earlyTolerance        = control.Micros(50_000) // more than the deviation of clients' clocks and of network delays
	maxKeys               = 100_000                // about 4 MB; rejected requests beyond that are not remembered
)

// Request is a request on arrival.
type Request struct {
	Tenant   control.TenantID
	IsRetry  bool   // as marked by its client
	KeyHash  uint64 // hash of its idempotency key; 0 if it has none
	Function control.FunctionID
	Priority float64 // of its class
}

// Decision says whether a request is admitted.
type Decision struct {
	Admitted   bool
	Reason     Kind           // of a rejection
	RetryAfter control.Micros // of a rejection: the delay before the next attempt, different for each request
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

// decide counts a request and decides whether it is admitted, without counting the admission.
func (c *Controller) decide(now control.Micros, r Request) Decision {
	t := c.tenant(now, r.Tenant)
	c.countArrival(now, r, t)
	if c.kind == TenantStorm && t.overQuota && !c.takeQuotaToken(now, r.Tenant, t) {
		return c.reject(now, 0)
	}
	retryAt, rejectedBefore := c.retryAt[r.KeyHash]
	rejectedBefore = rejectedBefore && r.KeyHash != 0
	switch {
	case c.kind == None || c.kind == ConnectionStorm:
		return Decision{Admitted: true}
	case !rejectedBefore && c.shedder.sheds(now, r.Priority, r.Function):
		return c.reject(now, r.KeyHash)
	case !r.IsRetry && !rejectedBefore:
		return Decision{Admitted: true}
	case rejectedBefore && now < retryAt-earlyTolerance:
		// The retry time is unchanged: postponing it would penalize the next attempt, which may come in time.
		c.window.current.rejected++
		return Decision{Reason: c.kind, RetryAfter: retryAt - now}
	case rejectedBefore:
		delete(c.retryAt, r.KeyHash)
		return Decision{Admitted: true}
	case t.retryTokens < 1:
		return c.reject(now, r.KeyHash)
	}
	t.retryTokens--
	return Decision{Admitted: true}
}

// countArrival counts a request on arrival. A first attempt adds to its tenant's retry budget.
func (c *Controller) countArrival(now control.Micros, r Request, t *tenantState) {
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

// RecordRejection counts a rejection by package control with its retry delay, and returns the delay that the client is
// given: in an overload a different one for each request.
func (c *Controller) RecordRejection(now, retryAfter control.Micros, keyHash uint64) control.Micros {
	c.advance(now)
	if c.kind == None || retryAfter == 0 {
		c.window.current.rejected++
		return retryAfter
	}
	return c.assignRetryAfter(now, retryAfter, keyHash)
}

// assignRetryAfter counts a rejection and draws its retry delay from the upper half of the longest delay, so that
// requests that were rejected together do not return together. The retry time of a request with an idempotency key is
// remembered.
func (c *Controller) assignRetryAfter(now, longest control.Micros, keyHash uint64) control.Micros {
	c.window.current.rejected++
	delay := max(1, longest/2+control.Micros(c.random.Int64N(max(1, int64(longest/2)))))
	if keyHash == 0 {
		return delay
	}
	if len(c.retryAt) >= maxKeys {
		c.pruneRetryTimes(now)
	}
	if len(c.retryAt) < maxKeys {
		c.retryAt[keyHash] = now + delay
	}
	return delay
}

// pruneRetryTimes deletes the retry times that have passed.
func (c *Controller) pruneRetryTimes(now control.Micros) {
	for keyHash, at := range c.retryAt {
		if at < now {
			delete(c.retryAt, keyHash)
		}
	}
}
