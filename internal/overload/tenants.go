package overload

import (
	"math"

	"hollymast/control"
)

// maxTenants is the number of tenants that are counted separately; all others share one state.
const maxTenants = 1000

// otherTenants is the key of the state that tenants beyond maxTenants share.
const otherTenants = ^control.TenantID(0)

// tenantState is the state of one tenant.
type tenantState struct {
	retries   float64 // recent retries, halved each second
	decayedAt control.Micros

	requests [shortageIntervals]float64 // by interval, including the current one
	interval control.Micros             // number of the current interval

	retryTokens float64 // retry budget in an overload

	overQuota   bool
	quotaTokens float64 // requests that it may still make while over quota
	refilledAt  control.Micros
}

// tenant returns a tenant's state, which is created at the tenant's first request.
func (c *Controller) tenant(now control.Micros, id control.TenantID) *tenantState {
	t := c.tenants[id]
	if t == nil {
		if len(c.tenants) >= maxTenants {
			id = otherTenants
			if t = c.tenants[id]; t != nil {
				return t
			}
		}
		t = &tenantState{decayedAt: now, retryTokens: maxRetryTokens}
		c.tenants[id] = t
	}
	t.decay(now)
	return t
}

// A tenant's retries below minRetries count as none.
const (
	retryHalfLife = control.Micros(1_000_000)
	minRetries    = 0.01
)

// decay halves the tenant's retries for each second that has passed.
func (t *tenantState) decay(now control.Micros) {
	for ; now-t.decayedAt >= retryHalfLife; t.decayedAt += retryHalfLife {
		if t.retries /= 2; t.retries < minRetries {
			t.retries, t.decayedAt = 0, now
			return
		}
	}
}

// dominantRetryShare returns the share of the recent retries that come from the tenant with the most retries.
func (c *Controller) dominantRetryShare(now control.Micros) float64 {
	most, all := 0.0, 0.0
	for _, t := range c.tenants {
		t.decay(now)
		most, all = max(most, t.retries), all+t.retries
	}
	if all == 0 {
		return 0
	}
	return most / all
}

// countRequest counts a request.
func (t *tenantState) countRequest(now control.Micros) {
	t.advance(now)
	t.requests[t.interval%shortageIntervals]++
}

// recentRequests returns the number of requests in the last half second, including the current interval.
func (t *tenantState) recentRequests(now control.Micros) (sum float64) {
	t.advance(now)
	for _, n := range t.requests {
		sum += n
	}
	return sum
}

// advance clears the counters of intervals that have passed.
func (t *tenantState) advance(now control.Micros) {
	for n := now / interval; t.interval < n; t.interval++ {
		if t.interval < n-shortageIntervals {
			t.interval = n - shortageIntervals - 1
			clear(t.requests[:])
		}
		t.requests[(t.interval+1)%shortageIntervals] = 0
	}
}

// A tenant is over quota if it exceeds twice its quota, which is more than the usual variation within a day, by three
// standard deviations of a Poisson count, which is more than the random variation within half a second.
const (
	quotaFactor     = 2.0
	quotaDeviations = 3.0
)

// updateOverQuota marks the tenants that send far more requests than their quota while capacity is short, whether or
// not the requests are marked as retries, and reports whether there are any. A tenant is no longer over quota once its
// requests are within the quota.
func (c *Controller) updateOverQuota(now control.Micros) bool {
	short, found := c.window.capacityShort(), false
	for id, t := range c.tenants {
		if int(id) >= len(c.quotas) || len(c.tenants) < 2 {
			continue
		}
		requests, quota := t.recentRequests(now), c.quotas[id]*shortageIntervals/windowIntervals
		switch {
		case short && requests > quotaFactor*quota+quotaDeviations*math.Sqrt(quota):
			if !t.overQuota {
				t.overQuota, t.quotaTokens, t.refilledAt = true, quotaBurst*c.quotas[id], now
			}
		case requests <= quota:
			t.overQuota = false
		}
		found = found || t.overQuota
	}
	return found
}

// quotaBurst is the part of its quota, in seconds, that a tenant over quota may use at once.
const quotaBurst = 0.5

// takeQuotaToken reports whether a request of a tenant over quota is within the quota, and if so charges it.
func (c *Controller) takeQuotaToken(now control.Micros, id control.TenantID, t *tenantState) bool {
	quota := c.quotas[id]
	t.quotaTokens = min(max(1, quotaBurst*quota), t.quotaTokens+quota*float64(now-t.refilledAt)/1e6)
	t.refilledAt = now
	if t.quotaTokens < 1 {
		return false
	}
	t.quotaTokens--
	return true
}
