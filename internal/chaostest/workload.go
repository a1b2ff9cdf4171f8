package chaostest

import "time"

// workload is a class of requests, and its share of the load.
type workload struct {
	name             string
	effect           string // as the configuration writes it: one of the effects below
	scope            string // of idempotency by key: one of the scopes below
	importance       float64
	share            float64
	latencyObjective time.Duration
	maxDeadline      time.Duration
	window           time.Duration // for which a key is remembered
}

// What a second run of a request does.
const (
	effectIdempotent      = "restartable"
	effectIdempotentByKey = "fingerprinted"
	effectNonIdempotent   = "run-once"
)

// Which servers share the keys of a workload that is idempotent by key.
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

// Idempotency keys are one of these prefixes and the operation's number. Fake servers remember none with the first prefix:
// only routers can keep a non-idempotent request from running twice.
const (
	nonIdempotentKeyPrefix = "once-"
	idempotentKeyPrefix    = "effect-"
)

// keyPrefix begins the idempotency keys of the workload's requests.
func (w *workload) keyPrefix() string {
	if w.effect == effectNonIdempotent {
		return nonIdempotentKeyPrefix
	}
	return idempotentKeyPrefix
}

// The two tenants, and the quota of the one that may send too much, in requests per second.
const (
	usualTenant      = "calm"
	noisyTenant      = "loud"
	noisyTenantQuota = 20
)
