package modelcheck

import (
	"slices"
	"strings"
)

// Bounds of the minimization. Pairs of steps are tried in short traces only, since the number of pairs grows with the
// square of the trace's length.
const (
	maxRunLength      = 4
	maxStepsForPairs  = 40
	maxCandidateCalls = 4 // how many calls, from index 0, are tried as the call that a removed step started
)

// Minimize removes steps that the violation does not need: runs of consecutive steps, single steps and pairs, as long as
// the remaining steps are enabled and the same property fails. Traces of random walks need it; those of breadth-first
// explorations are already the shortest.
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

// removeRuns tries to remove runs of three or more consecutive steps, longest first and from the end.
func (m *minimizer) removeRuns() (removed bool) {
	for length := maxRunLength; length > 2; length-- {
		for i := len(m.best.Steps) - length; i >= 0; i-- {
			if i+length > len(m.best.Steps) {
				continue // a removal has shortened the trace
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

// removeOneOrTwo tries to remove one step, or two that need not be adjacent, and stops at the first success.
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

// remove tries to remove steps. Since one of them may have started a server call, it also tries to renumber the calls of
// the other steps as if the call of each candidate index were gone.
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

// propertyOf returns the name of the property that a violation's text begins with.
func propertyOf(violation string) string {
	name, _, _ := strings.Cut(violation, ":")
	return name
}

// withoutSteps returns the steps without some of them. If removedCall is not negative, the indexes of the calls after it
// are decremented.
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
