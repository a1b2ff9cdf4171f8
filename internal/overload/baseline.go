package overload

import (
	"hollymast/control"
)

// Usual are the figures that outlast a router, so that one that is started in a storm knows what is usual.
type Baseline struct {
	FirstAttempts float64 `cbor:"First"` // a second
	Connections   float64 `cbor:"Connections"`
	Kind          Kind    `cbor:"Storm"` // that was on
}

// Remember gives them.
func (w *Controller) Baseline() Baseline {
	return Baseline{w.baselineAttempts, w.baselineConnections, w.kind}
}

// lately is how old a storm may be that a restarted router still takes for one: a restart takes seconds.
const maxRestoreAge = control.Micros(30_000_000)

// Recall takes them in at a router's start, with their age. A storm that was on lately goes on until it proves to be over.
func (w *Controller) Restore(now control.Micros, u Baseline, age control.Micros) {
	w.baselineAttempts, w.baselineConnections, w.baselineIntervals = u.FirstAttempts, u.Connections, 600
	if u.Kind != None && age < maxRestoreAge {
		w.enter(now, u.Kind)
	}
}

// learn follows what is usual: over a minute of calm parts, and not at all in a storm, which must not become usual.
func (w *Controller) updateBaseline() {
	const minute = 600 // parts
	if w.kind != None {
		return
	}
	s := w.lastSecond()
	w.baselineIntervals = min(w.baselineIntervals+1, minute)
	w.baselineAttempts += (s.firstAttempts - w.baselineAttempts) / float64(w.baselineIntervals)
	w.baselineConnections += (s.connections - w.baselineConnections) / float64(w.baselineIntervals)
}
