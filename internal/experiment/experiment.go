package experiment

import "slices"

// comparison identifies the comparison of the first arm with another one, at one size.
type comparison struct{ size, arm string }

// Experiment is a running experiment. It is not safe for concurrent use.
type Experiment struct {
	plan         Plan
	results      map[Trial]Result
	started      map[Trial]bool
	decidedAfter map[comparison]int // number of seeds after which a comparison was decided
}

// New returns an experiment that starts with the given results. The plan must have at least one arm.
func New(p Plan, results []Result) *Experiment {
	e := &Experiment{plan: p, results: map[Trial]Result{}, started: map[Trial]bool{}, decidedAfter: map[comparison]int{}}
	for _, r := range results {
		e.results[r.Trial] = r
	}
	for _, size := range p.Sizes {
		for _, arm := range p.Arms[1:] {
			e.tryDecide(comparison{size, arm})
		}
	}
	return e
}

// trialFor returns the trial with the i-th seed.
func (e *Experiment) trialFor(size, arm string, i int) Trial {
	return Trial{size, arm, e.plan.FirstSeed + uint64(i)}
}

// NextTrial returns the next trial to run, or false if none is left that could change a finding. It goes through the
// seeds in order, so that at any time as many seeds as possible have results of all arms.
func (e *Experiment) NextTrial() (Trial, bool) {
	for i := range e.plan.MaxSeeds {
		for _, size := range e.plan.Sizes {
			for _, arm := range e.plan.Arms {
				t := e.trialFor(size, arm, i)
				if _, done := e.results[t]; done || e.started[t] || !e.isNeeded(size, arm, i) {
					continue
				}
				e.started[t] = true
				return t, true
			}
		}
	}
	return Trial{}, false
}

// isNeeded reports whether an arm's trial with the i-th seed can still change a finding. A trial of the first arm can as
// long as that of any other arm can.
func (e *Experiment) isNeeded(size, arm string, i int) bool {
	undecided := func(arm string) bool {
		end, decided := e.decidedAfter[comparison{size, arm}]
		return !decided || i < end
	}
	if arm != e.plan.Arms[0] {
		return undecided(arm)
	}
	return len(e.plan.Arms) == 1 || slices.ContainsFunc(e.plan.Arms[1:], undecided)
}

// Remaining returns the number of trials without a result that would be run if no further comparison were decided.
func (e *Experiment) Remaining() (n int) {
	for i := range e.plan.MaxSeeds {
		for _, size := range e.plan.Sizes {
			for _, arm := range e.plan.Arms {
				if _, done := e.results[e.trialFor(size, arm, i)]; !done && e.isNeeded(size, arm, i) {
					n++
				}
			}
		}
	}
	return n
}

// AddResult adds the result of a trial and updates the comparisons that use it.
func (e *Experiment) AddResult(r Result) {
	e.results[r.Trial] = r
	for _, arm := range e.plan.Arms[1:] {
		if r.Arm == arm || r.Arm == e.plan.Arms[0] {
			e.tryDecide(comparison{r.Size, arm})
		}
	}
}
