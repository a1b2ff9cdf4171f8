package chaostest

import "time"

// workload is a class of calls, and its share of the load.
type workload struct {
	name             string
	effect           string // one of the effects below, as the configuration names them
	scope            string // of idempotency keys: one of the scopes below; empty: not idempotent by key
	importance       float64
	share            float64
	latencyObjective time.Duration
	maxDeadline      time.Duration
	window           time.Duration // for which a key is remembered; 0: not idempotent by key
}

// Effects: whether a request may run more than once.
const (
	effectIdempotent      = "restartable"
	effectIdempotentByKey = "fingerprinted"
	effectNonIdempotent   = "run-once"
)

// Scopes: which servers share the keys of a workload that is idempotent by key.
const (
	scopeFleet = "fleet"
	scopeZone  = "zone"
)

var workloadMix = []workload{
	{"forecast", effectIdempotent, "", 1, 0.55, 400 * time.Millisecond, 4 * time.Second, 0},
	{"pickup-booking", effectIdempotentByKey, scopeFleet, 2, 0.2, 300 * time.Millisecond, 3 * time.Second, 5 * time.Second},
	{"label", effectIdempotentByKey, scopeZone, 1, 0.1, 300 * time.Millisecond, 6 * time.Second, 2 * time.Second},
	{"ticket", effectNonIdempotent, "", 2, 0.15, 400 * time.Millisecond, 3 * time.Second, 0},
}

// An idempotency key is one of these prefixes and the number of the call. Fake servers don't deduplicate keys with the first prefix,
// so that only routers keep a non-idempotent request from running twice.
const (
	nonIdempotentKeyPrefix = "once-"
	idempotentKeyPrefix    = "effect-"
)

// keyPrefix returns the prefix of the idempotency keys of the workload's requests.
func (w *workload) keyPrefix() string {
	if w.effect == effectNonIdempotent {
		return nonIdempotentKeyPrefix
	}
	return idempotentKeyPrefix
}

// The two tenants, and the quota of the noisy one in requests per second.
const (
	regularTenant    = "calm"
	noisyTenant      = "loud"
	noisyTenantQuota = 20
)
