package retry

import (
	"slices"

	"hollymast/control"
)

// Latencies holds the latencies of the last successful attempts.
type Latencies struct {
	last  [64]control.Micros // ring buffer
	count int                // number of latencies ever added
}

// minSamples is the number of latencies needed to estimate their tail.
const minSamples = 20

// hedgePercentile is the percentile of the latencies after which an attempt is hedged: the slowest 5% are.
const hedgePercentile = 95

// Add adds a latency.
func (l *Latencies) Add(latency control.Micros) {
	l.last[l.count%len(l.last)] = latency
	l.count++
}

// HedgeDelay returns the time after which an attempt is slow enough to be hedged, or 0 if that is not known yet.
func (l *Latencies) HedgeDelay() control.Micros {
	if l.count < minSamples {
		return 0
	}
	sorted := slices.Clone(l.last[:min(l.count, len(l.last))])
	slices.Sort(sorted)
	return max(1, sorted[len(sorted)*hedgePercentile/100])
}
