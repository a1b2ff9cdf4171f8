package retry

import (
	"slices"

	"hollymast/control"
)

// Latencies holds how long the last successful attempts took.
type Latencies struct {
	last  [64]control.Micros // a ring
	count int                // of all that were added
}

// minSamples is how many latencies it takes to know their tail.
const minSamples = 20

// hedgePercentile leaves the slowest twentieth of the attempts to be hedged.
const hedgePercentile = 95

// Add adds a latency.
func (l *Latencies) Add(latency control.Micros) {
	l.last[l.count%len(l.last)] = latency
	l.count++
}

// HedgeDelay returns after how long an attempt is slow enough to be hedged; 0: not known yet.
func (l *Latencies) HedgeDelay() control.Micros {
	if l.count < minSamples {
		return 0
	}
	sorted := slices.Clone(l.last[:min(l.count, len(l.last))])
	slices.Sort(sorted)
	return max(1, sorted[len(sorted)*hedgePercentile/100])
}
