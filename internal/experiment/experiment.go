package experiment

import "slices"

// pair is the comparison of the first arm with another one, at one size.
type pair struct{ size, arm string }

// Experiment is an experiment under way. It isn't safe for concurrent use.
type Experiment struct {
	plan         Plan
	results      map[Trial]Result
	started      map[Trial]bool
	decidedAfter map[pair]int // number of seeds after which a pair was decided
}

// New begins an experiment with the results that are there already. The plan has at least one arm.
func New(p Plan, results []Result) *Experiment {
	e := &Experiment{plan: p, results: map[Trial]Result{}, started: map[Trial]bool{}, decidedAfter: map[pair]int{}}
	for _, r := range results {
		e.results[r.Trial] = r
	}
	for _, size := range p.Sizes {
		for _, arm := range p.Arms[1:] {
			e.decide(pair{size, arm})
		}
	}
	return e
}

// trial gives the trial with the i-th seed.
func (e *Experiment) trial(size, arm string, i int) Trial {
	return Trial{size, arm, e.plan.FirstSeed + uint64(i)}
}

// NextTrial gives a trial to be run; false: none is left that could change a finding. Trials are given seed by seed, so that the
// results are as complete as can be at any time.
func (e *Experiment) NextTrial() (Trial, bool) {
	for i := range e.plan.MaxSeeds {
		for _, size := range e.plan.Sizes {
			for _, arm := range e.plan.Arms {
				t := e.trial(size, arm, i)
				if _, done := e.results[t]; done || e.started[t] || !e.needed(size, arm, i) {
					continue
				}
				e.started[t] = true
				return t, true
			}
		}
	}
	return Trial{}, false
}

// needed reports whether an arm's trial with the i-th seed can still change a finding. One of the first arm can while that of any
// other arm can.
func (e *Experiment) needed(size, arm string, i int) bool {
	undecided := func(arm string) bool {
		end, decided := e.decidedAfter[pair{size, arm}]
		return !decided || i < end
	}
	if arm != e.plan.Arms[0] {
		return undecided(arm)
	}
	return len(e.plan.Arms) == 1 || slices.ContainsFunc(e.plan.Arms[1:], undecided)
}

// Remaining counts the trials without a result that would still be run if no further pair were decided.
func (e *Experiment) Remaining() (n int) {
	for i := range e.plan.MaxSeeds {
		for _, size := range e.plan.Sizes {
			for _, arm := range e.plan.Arms {
				if _, done := e.results[e.trial(size, arm, i)]; !done && e.needed(size, arm, i) {
					n++
				}
			}
		}
	}
	return n
}

// AddResult adds the result of a trial.
func (e *Experiment) AddResult(r Result) {
	e.results[r.Trial] = r
	for _, arm := range e.plan.Arms[1:] {
		if r.Arm == arm || r.Arm == e.plan.Arms[0] {
			e.decide(pair{r.Size, arm})
		}
	}
}
