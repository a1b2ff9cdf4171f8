package overload

import (
	"hollymast/control"
	"math"
)

// tenant is what is known of one.
type tenantState struct {
	retries     float64 // repeats of the last seconds, fading
	decayedAt   control.Micros
	requests    [shortageIntervals]float64 // of the last parts, the one under way among them
	interval    control.Micros             // the number of that one
	retryTokens float64                    // its budget of repeats in a storm
	overQuota   bool                       // it storms
	quotaTokens float64                    // calls of its share that may come in
	refilledAt  control.Micros
}

// beyond is how far over its share a tenant is that storms, and deviations by how many of a count's deviations more: twice is more than a
// usual day's ups and downs, three deviations more than those of half a second.
const (
	quotaFactor     = 2.0
	quotaDeviations = 3.0
)

// came counts a call of a tenant and gives how many came within the last parts.
func (t *tenantState) count(now control.Micros, calls float64) (sum float64) {
	for n := now / interval; t.interval < n; t.interval++ {
		if t.interval < n-shortageIntervals {
			t.interval = n - shortageIntervals - 1
			clear(t.requests[:])
		}
		t.requests[(t.interval+1)%shortageIntervals] = 0
	}
	t.requests[t.interval%shortageIntervals] += calls
	for _, c := range t.requests {
		sum += c
	}
	return sum
}

// loud tells whether capacity is short while some tenants ask for far more than their told share, marked or not, and marks those. One
// that storms is let off once it is within its share.
func (w *Controller) updateOverQuota(now control.Micros) (any bool) {
	scarce := w.capacityShort()
	for id, t := range w.tenants {
		if int(id) >= len(w.quotas) || len(w.tenants) < 2 {
			continue
		}
		came, usual := t.count(now, 0), w.quotas[id]*shortageIntervals/intervals
		switch {
		case scarce && came > quotaFactor*usual+quotaDeviations*math.Sqrt(usual):
			if !t.overQuota {
				t.overQuota, t.quotaTokens, t.refilledAt = true, quotaBurst*w.quotas[id], now
			}
		case came <= usual:
			t.overQuota = false
		}
		any = any || t.overQuota
	}
	return any
}

// burst is for how many seconds of its share the calls of a tenant that storms may come at once.
const quotaBurst = 0.5

// within tells whether a call of a tenant that storms is within its share.
func (w *Controller) takeQuotaToken(now control.Micros, id control.TenantID, t *tenantState) bool {
	share := w.quotas[id]
	t.quotaTokens = min(max(1, quotaBurst*share), t.quotaTokens+share*float64(now-t.refilledAt)/1e6)
	t.refilledAt = now
	if t.quotaTokens < 1 {
		return false
	}
	t.quotaTokens--
	return true
}

// mostly is the share of the repeats that belongs to the tenant with the most.
func (w *Controller) dominantTenant(now control.Micros) float64 {
	most, all := 0.0, 0.0
	for _, t := range w.tenants {
		t.decay(now)
		most, all = max(most, t.retries), all+t.retries
	}
	if all == 0 {
		return 0
	}
	return most / all
}

// fade halves a tenant's repeats each second.
func (t *tenantState) decay(now control.Micros) {
	for ; now-t.decayedAt >= 1_000_000; t.decayedAt += 1_000_000 {
		if t.retries /= 2; t.retries < 0.01 {
			t.retries, t.decayedAt = 0, now
			return
		}
	}
}

// mostTenants bounds those that are told apart; the rest count as one.
const maxTenants = 1000

func (w *Controller) tenant(now control.Micros, id control.TenantID) *tenantState {
	t := w.tenants[id]
	if t == nil {
		if len(w.tenants) >= maxTenants {
			id = ^control.TenantID(0)
			if t = w.tenants[id]; t != nil {
				return t
			}
		}
		t = &tenantState{decayedAt: now, retryTokens: maxRetryTokens}
		w.tenants[id] = t
	}
	t.decay(now)
	return t
}
