package overload

import (
	"hollymast/control"
)

// baselineIntervals is the number of intervals over which the baseline is averaged: one minute.
const baselineIntervals = 600

// baseline is the usual traffic: a mean over the last minute without overload.
type baseline struct {
	firstAttempts float64 // per second
	connections   float64 // per second
	intervals     int     // that the mean is based on, baselineIntervals at most
}

func (b *baseline) update(lastSecond counters) {
	b.intervals = min(b.intervals+1, baselineIntervals)
	b.firstAttempts += (lastSecond.firstAttempts - b.firstAttempts) / float64(b.intervals)
	b.connections += (lastSecond.connections - b.connections) / float64(b.intervals)
}

// updateBaseline adds the last second to the baseline, except during an overload, which must not become the usual
// traffic.
func (c *Controller) updateBaseline() {
	if c.kind == None {
		c.baseline.update(c.window.lastSecond())
	}
}

// Baseline is the state that survives a restart, so that a router that starts during an overload knows the usual
// traffic. It is stored: the tags must not change.
type Baseline struct {
	FirstAttempts float64 `cbor:"First"`       // per second
	Connections   float64 `cbor:"Connections"` // per second
	Kind          Kind    `cbor:"Storm"`       // of the overload when it was stored
}

// Baseline returns the state that is stored for Restore.
func (c *Controller) Baseline() Baseline {
	return Baseline{FirstAttempts: c.baseline.firstAttempts, Connections: c.baseline.connections, Kind: c.kind}
}

// maxRestoreAge is the age up to which a stored overload is assumed to continue: a restart takes seconds.
const maxRestoreAge = control.Micros(30_000_000)

// Restore sets the baseline when a router starts; age is the time since it was stored. A recent overload continues
// until its conditions no longer hold.
func (c *Controller) Restore(now control.Micros, stored Baseline, age control.Micros) {
	c.baseline = baseline{firstAttempts: stored.FirstAttempts, connections: stored.Connections, intervals: baselineIntervals}
	if stored.Kind != None && age < maxRestoreAge {
		c.beginOverload(now, stored.Kind)
	}
}
