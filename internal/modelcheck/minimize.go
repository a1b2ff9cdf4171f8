package modelcheck

import (
	"slices"
	"strings"
)

// Bounds of minimizing. Pairs of steps are tried in short traces only, since their number grows as the square of a trace's length.
const (
	maxRunLength      = 4
	maxStepsForPairs  = 40
	maxCandidateCalls = 4 // of which one may have been begun by what is left out
)

// Minimize leaves out the steps that a trace's violation does not need: runs of steps, or any two at a time, as long as the rest can still
// happen and the same property fails. Traces found breadth first are shortest as they are; those of random walks are not.
func (t *Trace) Minimize(rules *Rules, properties []Property) *Trace {
	m := &minimizer{rules: rules, properties: properties, best: &Trace{t.Config, slices.Clone(t.Steps), t.Violation}}
	for m.removeRuns() || m.removeOneOrTwo() {
	}
	return m.best
}

type minimizer struct {
	rules      *Rules
	properties []Property
	best       *Trace
}

// removeRuns tries to leave out runs of several steps, longest first and from the end.
func (m *minimizer) removeRuns() (removed bool) {
	for length := maxRunLength; length > 2; length-- {
		for i := len(m.best.Steps) - length; i >= 0; i-- {
			if i+length > len(m.best.Steps) {
				continue // the trace became shorter meanwhile
			}
			var run []int
			for k := range length {
				run = append(run, i+k)
			}
			removed = m.remove(run...) || removed
		}
	}
	return removed
}

// removeOneOrTwo tries to leave out one step, or two that need not be neighbours, and stops at the first success.
func (m *minimizer) removeOneOrTwo() bool {
	for i := len(m.best.Steps) - 1; i >= 0; i-- {
		if m.remove(i) {
			return true
		}
		for j := i - 1; j >= 0 && len(m.best.Steps) <= maxStepsForPairs; j-- {
			if m.remove(i, j) {
				return true
			}
		}
	}
	return false
}

// remove tries to leave out steps; one of them may have begun a server call, whose later steps are gone too.
func (m *minimizer) remove(steps ...int) bool {
	const none = -1
	for removedCall := none; removedCall < maxCandidateCalls; removedCall++ {
		t := &Trace{Config: m.best.Config, Steps: withoutSteps(m.best.Steps, steps, removedCall)}
		violation, after, err := t.Replay(m.rules, m.properties)
		if err == nil && violation != "" && propertyOf(violation) == propertyOf(m.best.Violation) {
			m.best = &Trace{m.best.Config, t.Steps[:after], violation}
			return true
		}
	}
	return false
}

// propertyOf returns the name of the property that a violation is of.
func propertyOf(violation string) string {
	name, _, _ := strings.Cut(violation, ":")
	return name
}

// withoutSteps leaves steps out. The indexes of calls after a removed one move up.
func withoutSteps(steps []Step, without []int, removedCall int) []Step {
	var rest []Step
	for i, step := range steps {
		if slices.Contains(without, i) {
			continue
		}
		ofCall := step.Kind == CallWritten || step.Kind == CallEnds || step.Kind == CallTimesOut
		if removedCall >= 0 && ofCall && int(step.Index) > removedCall {
			step.Index--
		}
		rest = append(rest, step)
	}
	return rest
}
