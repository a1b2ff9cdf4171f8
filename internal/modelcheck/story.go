package modelcheck

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Story is how a state is reached, and what is wrong there; it is saved as JSON and replayed for ever.
type Trace struct {
	Config    Config `json:"Setup"`
	Steps     []Step `json:"Steps"`
	Violation string `json:"Wrong"` // property and what it said; empty: nothing
}

// Replay takes a story's steps under some rules and gives what is wrong first, and after how many steps; none: empty. An error tells
// that the rules never let it come to one of its steps, which is as good as an answer where the rules were mended.
func (s *Trace) Replay(rules *Rules, properties []Property) (wrong string, after int, err error) {
	w, err := InitialState(&s.Config, rules)
	if err != nil {
		return "", 0, err
	}
	x := Exploration{Config: s.Config, Properties: properties, Rules: rules}
	for i, step := range s.Steps {
		if !slices.Contains(w.EnabledSteps(&s.Config, rules), step) {
			return "", i, fmt.Errorf("step %d can't happen", i+1)
		}
		if w, err = w.Apply(&s.Config, rules, step); err != nil {
			return "", i, err
		}
		if text := x.wrong(w); text != "" {
			return text, i + 1, nil
		}
	}
	return "", len(s.Steps), nil
}

// Text tells a story in numbered lines.
func (s *Trace) Text(rules *Rules) string {
	var b strings.Builder
	w, err := InitialState(&s.Config, rules)
	if err != nil {
		return err.Error()
	}
	for i, step := range s.Steps {
		fmt.Fprintf(&b, "%3d. %s\n", i+1, w.Describe(&s.Config, step))
		if !slices.Contains(w.EnabledSteps(&s.Config, rules), step) {
			fmt.Fprintf(&b, "     (this can't happen)\n")
			break
		}
		if w, err = w.Apply(&s.Config, rules, step); err != nil {
			fmt.Fprintf(&b, "     (%v)\n", err)
			break
		}
	}
	if s.Violation != "" {
		fmt.Fprintf(&b, "     %s\n", s.Violation)
	}
	return b.String()
}

// Shorten leaves out what a story's breach does not need: some steps in a row or any two at a time, as long as what is left still can happen and
// the same property fails. Breadth first stories are shortest as they are; those of walks are not.
func (s *Trace) Minimize(rules *Rules, properties []Property) *Trace {
	name, _, _ := strings.Cut(s.Violation, ":")
	best := &Trace{s.Config, slices.Clone(s.Steps), s.Violation}
	try := func(without ...int) bool {
		for gone := -1; gone < mostExchanges; gone++ { // the exchange that what was left out had begun
			t := &Trace{s.Config, leave(best.Steps, without, gone), ""}
			wrong, after, err := t.Replay(rules, properties)
			if got, _, _ := strings.Cut(wrong, ":"); err == nil && wrong != "" && got == name {
				best = &Trace{s.Config, t.Steps[:after], wrong}
				return true
			}
		}
		return false
	}
	for changed := true; changed; {
		changed = false
		for row := mostInRow; row > 2; row-- {
			for i := len(best.Steps) - row; i >= 0; i-- {
				if i+row > len(best.Steps) {
					continue
				}
				var in []int
				for k := range row {
					in = append(in, i+k)
				}
				changed = try(in...) || changed
			}
		}
		for i := len(best.Steps) - 1; i >= 0 && !changed; i-- {
			changed = try(i)
			for j := i - 1; j >= 0 && !changed && len(best.Steps) <= pairsUpTo; j-- {
				changed = try(i, j)
			}
		}
	}
	return best
}

// Bounds of shortening: pairs of steps are tried in stories of some length only, since their number grows as its square.
const (
	mostInRow     = 4
	pairsUpTo     = 40
	mostExchanges = 4
)

// leave leaves steps out. Exchanges after the one that is gone move up.
func leave(steps []Step, without []int, gone int) []Step {
	var out []Step
	for i, step := range steps {
		if slices.Contains(without, i) {
			continue
		}
		if gone >= 0 && (step.Kind == CallWritten || step.Kind == CallEnds || step.Kind == CallTimesOut) && int(step.Index) > gone {
			step.Index--
		}
		out = append(out, step)
	}
	return out
}

// Save gives a story as a file's text; Read reads one.
func (s *Trace) Marshal() ([]byte, error) { return json.MarshalIndent(s, "", " ") }

// ReadStory reads a saved story.
func ParseTrace(text []byte) (*Trace, error) {
	s := &Trace{}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("no story: %w", err)
	}
	return s, s.Config.Validate()
}
