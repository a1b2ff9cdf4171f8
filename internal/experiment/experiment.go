// Package experiment decides which days of an experiment are still to be played, and what the played ones show: paired differences
// between arms on the same calls and troubles, with intervals, and an end once they tell enough. It is free of I/O; Store keeps rows.
package experiment

import (
	"slices"
)

// State is an experiment under way.
type Experiment struct {
	plan         Plan
	results      map[Trial]Result
	started      map[Trial]bool
	decidedAfter map[[2]string]int // seeds after which a pair was decided, by size and arm
}

// New begins an experiment with the rows that are there already.
func New(p Plan, rows []Result) *Experiment {
	s := &Experiment{plan: p, results: map[Trial]Result{}, started: map[Trial]bool{}, decidedAfter: map[[2]string]int{}}
	for _, r := range rows {
		s.results[r.Trial] = r
	}
	for _, size := range p.Sizes {
		for _, arm := range p.Arms[1:] {
			s.decide(size, arm)
		}
	}
	return s
}

// Next gives a day to play; false: none is left that could change a finding. Days are given seed by seed, so that what is there at any
// time is as complete as can be.
func (s *Experiment) Next() (Trial, bool) {
	for i := range s.plan.MaxSeeds {
		for _, size := range s.plan.Sizes {
			for n, arm := range s.plan.Arms {
				c := Trial{size, arm, s.plan.FirstSeed + uint64(i)}
				if _, played := s.results[c]; played || s.started[c] || !s.needed(size, n, i) {
					continue
				}
				s.started[c] = true
				return c, true
			}
		}
	}
	return Trial{}, false
}

// wanted tells whether a seed's day of an arm can still change a finding; the first arm's can while any other's can.
func (s *Experiment) needed(size string, arm, seed int) bool {
	open := func(arm string) bool {
		end, decided := s.decidedAfter[[2]string{size, arm}]
		return !decided || seed < end
	}
	if arm > 0 {
		return open(s.plan.Arms[arm])
	}
	return len(s.plan.Arms) == 1 || slices.ContainsFunc(s.plan.Arms[1:], open)
}

// Left counts the days that would still be played if nothing more were decided.
func (s *Experiment) Remaining() (n int) {
	for i := range s.plan.MaxSeeds {
		for _, size := range s.plan.Sizes {
			for arm, name := range s.plan.Arms {
				if _, played := s.results[Trial{size, name, s.plan.FirstSeed + uint64(i)}]; !played && s.needed(size, arm, i) {
					n++
				}
			}
		}
	}
	return n
}

// Add takes in a played day.
func (s *Experiment) Add(r Result) {
	s.results[r.Trial] = r
	for _, arm := range s.plan.Arms[1:] {
		if r.Arm == arm || r.Arm == s.plan.Arms[0] {
			s.decide(r.Size, arm)
		}
	}
}
