package modelcheck

import (
	"fmt"
	"math/rand/v2"
)

// Walk takes a world through steps by chance, for those that are too large to be seen whole, and gives the story of the first
// breach, shortened; nil: none. Pick chooses among n steps.
func Walk(s Setup, rules *Rules, properties []Property, most int, pick func(n int) int) (*Story, int, error) {
	w, err := Begin(&s, rules)
	if err != nil {
		return nil, 0, err
	}
	x := Exploration{Setup: s, Properties: properties, Rules: rules}
	story := &Story{Setup: s}
	for len(story.Steps) < most {
		steps := w.Steps(&s, rules)
		if len(steps) == 0 {
			break
		}
		step := steps[pick(len(steps))]
		if w, err = w.Take(&s, rules, step); err != nil {
			return nil, len(story.Steps), fmt.Errorf("step %d: %w", len(story.Steps)+1, err)
		}
		story.Steps = append(story.Steps, step)
		if story.Wrong = x.wrong(w); story.Wrong != "" {
			return story.Shorten(rules, properties), len(story.Steps), nil
		}
	}
	return nil, len(story.Steps), nil
}

// Chance picks by a seed.
func Chance(seed uint64) func(n int) int {
	r := rand.New(rand.NewPCG(seed, 0))
	return r.IntN
}
