// Package overload sees a storm of calls as it forms, tells its kind, and damps it: which calls are let in while it lasts, and when
// those that are not should return. It is free of I/O and clocks; chance comes from a seeded generator. What becomes of a job that is
// let in is the module's, here as ever.
//
// A storm is not demand that rises: first tries alone never make one. It is made of calls that come again because earlier ones
// came to nothing, all at the same time.
package overload

import (
	"fmt"
	"math/rand/v2"

	"hollymast/control"
)

// Watch is one router's view. It is for one goroutine.
type Controller struct {
	quotas              []float64 // of tenants at this router, calls a second
	maxRetryAfter       control.Micros
	random              *rand.Rand
	current             counters
	currentSince        control.Micros // of the part under way
	past                [intervals]counters
	oldest              int
	baselineIntervals   int     // parts that usual figures rest on, up to a minute of them
	baselineAttempts    float64 // first tries a second
	baselineConnections float64 // connections a second
	kind                Kind
	since               control.Micros
	quietSince          control.Micros            // since when nothing speaks for a storm; 0: something does
	returnAt            map[uint64]control.Micros // when refused calls may return, by their marks
	tenants             map[control.TenantID]*tenantState
	logLines            []string
	shedder             shedder
}

// NewWatch begins to watch. Shares are the tenants' told shares in calls a second, of this router alone; stay is the longest pause that
// clients heed; importances are those of the workloads.
func NewController(now control.Micros, quotas, priorities []float64, maxRetryAfter control.Micros, seed uint64) *Controller {
	return &Controller{quotas: quotas, shedder: newShedder(priorities), maxRetryAfter: maxRetryAfter, random: rand.New(rand.NewPCG(seed, 0x570)), currentSince: now, returnAt: map[uint64]control.Micros{}, tenants: map[control.TenantID]*tenantState{}}
}

// turn ends parts that are over, and decides on the storm at each end.
func (w *Controller) advance(now control.Micros) {
	for n := 0; now >= w.currentSince+interval; n++ {
		if n > 2*intervals { // nothing came for long: as if it were all past
			w.past, w.current, w.currentSince = [intervals]counters{}, counters{}, now
			break
		}
		w.past[w.oldest] = w.current
		w.oldest = (w.oldest + 1) % intervals
		w.current = counters{}
		w.currentSince += interval
		w.updateBaseline()
		w.classify(w.currentSince)
		w.shedder.move(w.kind != None && w.kind != ConnectionStorm && w.kind != TenantStorm, w.admittedTooMuch()) // calm tenants pay for none that storms
	}
}

// Answered takes in that a call was finished.
func (w *Controller) RecordAnswer(now control.Micros) {
	w.advance(now)
	w.current.answered++
}

// Connected takes in a client's connection.
func (w *Controller) RecordConnection(now control.Micros) {
	w.advance(now)
	w.current.connections++
}

// Woke takes in that this router stood still: what it finds came at another time.
func (w *Controller) RecordStall(now, late control.Micros) {
	if late < minStall {
		return
	}
	w.currentSince, w.current = now, counters{} // what came meanwhile is no rate
	if w.kind == None {
		w.enter(now, AfterStall)
	}
}

// Kind tells what is on.
func (w *Controller) Kind() Kind { return w.kind }

func (w *Controller) logf(format string, args ...any) {
	w.logLines = append(w.logLines, fmt.Sprintf(format, args...))
}

// Notes gives what is to be told operators since the last call.
func (w *Controller) LogLines() []string {
	notes := w.logLines
	w.logLines = nil
	return notes
}
