package modelcheck

import (
	"fmt"
	"math/rand/v2"
)

// RandomWalk takes a world through steps chosen at random, for worlds that are too large to be explored whole. It returns the trace of the
// first violation, minimized (nil: none), and the number of steps taken. Pick chooses among n steps.
func RandomWalk(c Config, rules *Rules, properties []Property, maxSteps int, pick func(n int) int) (*Trace, int, error) {
	s, err := InitialState(&c, rules)
	if err != nil {
		return nil, 0, err
	}
	trace := &Trace{Config: c}
	for len(trace.Steps) < maxSteps {
		steps := s.EnabledSteps(&c)
		if len(steps) == 0 {
			break
		}
		step := steps[pick(len(steps))]
		if s, err = s.Apply(&c, rules, step); err != nil {
			return nil, len(trace.Steps), fmt.Errorf("step %d: %w", len(trace.Steps)+1, err)
		}
		trace.Steps = append(trace.Steps, step)
		if trace.Violation = findViolation(&c, s, properties); trace.Violation != "" {
			return trace.Minimize(rules, properties), len(trace.Steps), nil
		}
	}
	return nil, len(trace.Steps), nil
}

// SeededPicker returns a function that picks by a seed.
func SeededPicker(seed uint64) func(n int) int {
	return rand.New(rand.NewPCG(seed, 0)).IntN
}
