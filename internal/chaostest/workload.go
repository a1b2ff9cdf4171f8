package chaostest

import (
	_ "embed"
	"time"
)

// workload is one row of the day's mix of jobs.
type workload struct {
	name, effect, scope           string
	importance                    float64
	share                         float64
	latencyObjective, maxDeadline time.Duration
	window                        time.Duration
}

var workloadMix = []workload{
	{"forecast", "restartable", "", 1, 0.55, 400 * time.Millisecond, 4 * time.Second, 0},
	{"pickup-booking", "fingerprinted", "fleet", 2, 0.2, 300 * time.Millisecond, 3 * time.Second, 5 * time.Second},
	{"label", "fingerprinted", "zone", 1, 0.1, 300 * time.Millisecond, 6 * time.Second, 2 * time.Second},
	{"ticket", "run-once", "", 2, 0.15, 400 * time.Millisecond, 3 * time.Second, 0},
}

// loudShare is the told share of the tenant that may storm, in jobs a second.
const noisyTenantQuota = 20
