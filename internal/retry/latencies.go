package retry

import (
	"hollymast/control"
	"slices"
)

// Latencies keeps the last answers' times, for hedging.
type Latencies struct {
	last  [64]control.Micros
	count int
}

// Add keeps one.
func (l *Latencies) Add(t control.Micros) {
	l.last[l.count%len(l.last)] = t
	l.count++
}

// enough answers tell a tail.
const minSamples = 20

// HedgeAfter is after how long a try is among the slowest twentieth; 0: not known.
func (l *Latencies) HedgeDelay() control.Micros {
	if l.count < minSamples {
		return 0
	}
	ts := slices.Clone(l.last[:min(l.count, len(l.last))])
	slices.Sort(ts)
	return max(1, ts[len(ts)*95/100])
}
