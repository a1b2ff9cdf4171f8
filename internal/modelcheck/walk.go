package modelcheck

import (
	"fmt"
	"math/rand/v2"
)

// Walk takes a world through steps by chance, for those that are too large to be seen whole, and gives the story of the first
// breach, shortened; nil: none. Pick chooses among n steps.
func RandomWalk(s Config, rules *Rules, properties []Property, most int, pick func(n int) int) (*Trace, int, error) {
	w, err := InitialState(&s, rules)
	if err != nil {
		return nil, 0, err
	}
	x := Exploration{Config: s, Properties: properties, Rules: rules}
	story := &Trace{Config: s}
	for len(story.Steps) < most {
		steps := w.EnabledSteps(&s, rules)
		if len(steps) == 0 {
			break
		}
		step := steps[pick(len(steps))]
		if w, err = w.Apply(&s, rules, step); err != nil {
			return nil, len(story.Steps), fmt.Errorf("step %d: %w", len(story.Steps)+1, err)
		}
		story.Steps = append(story.Steps, step)
		if story.Violation = x.wrong(w); story.Violation != "" {
			return story.Minimize(rules, properties), len(story.Steps), nil
		}
	}
	return nil, len(story.Steps), nil
}

// Chance picks by a seed.
func RandomChoice(seed uint64) func(n int) int {
	r := rand.New(rand.NewPCG(seed, 0))
	return r.IntN
}
