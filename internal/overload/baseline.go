package overload

import (
	"hollymast/control"
)

// baselineIntervals is the time over which the baseline is averaged: a minute.
const baselineIntervals = 600

// baseline is the usual traffic, a mean over the last minute without overload.
type baseline struct {
	firstAttempts float64 // per second
	connections   float64 // per second
	intervals     int     // that the mean rests on, baselineIntervals at most
}

func (b *baseline) update(lastSecond counters) {
	b.intervals = min(b.intervals+1, baselineIntervals)
	b.firstAttempts += (lastSecond.firstAttempts - b.firstAttempts) / float64(b.intervals)
	b.connections += (lastSecond.connections - b.connections) / float64(b.intervals)
}

// updateBaseline takes in the last second. An overload is not learned: it must not become usual.
func (c *Controller) updateBaseline() {
	if c.kind == None {
		c.baseline.update(c.window.lastSecond())
	}
}

// Baseline is what outlasts a restart, so that a router that starts during an overload knows the usual traffic. It is stored: the tags
// must not change.
type Baseline struct {
	FirstAttempts float64 `cbor:"First"`       // per second
	Connections   float64 `cbor:"Connections"` // per second
	Kind          Kind    `cbor:"Storm"`       // of the overload at the time
}

// Baseline returns what Restore takes.
func (c *Controller) Baseline() Baseline {
	return Baseline{FirstAttempts: c.baseline.firstAttempts, Connections: c.baseline.connections, Kind: c.kind}
}

// maxRestoreAge is the age up to which a stored overload is taken for one that still goes on: a restart takes seconds.
const maxRestoreAge = control.Micros(30_000_000)

// Restore sets the baseline at a router's start; age is the time since it was stored. A recent overload goes on until its conditions no
// longer hold.
func (c *Controller) Restore(now control.Micros, stored Baseline, age control.Micros) {
	c.baseline = baseline{firstAttempts: stored.FirstAttempts, connections: stored.Connections, intervals: baselineIntervals}
	if stored.Kind != None && age < maxRestoreAge {
		c.enter(now, stored.Kind)
	}
}
