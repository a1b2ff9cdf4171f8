package modelcheck

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Trace is a sequence of steps from the initial state, and the violation in the state that it leads to. It is stored as
// JSON and can be replayed by later builds. The tags are the names in stored data.
type Trace struct {
	Config    Config `json:"Setup"`
	Steps     []Step `json:"Steps"`
	Violation string `json:"Wrong"` // name and description of the property that fails; empty: none
}

// Replay applies a trace's steps under some rules until a property fails. It returns the violation (empty: none) and the
// number of steps applied. It returns an error if a step is not possible under the rules; after a fix of the rules that
// is as good as no violation.
func (t *Trace) Replay(rules *Rules, properties []Property) (violation string, after int, err error) {
	s, err := InitialState(&t.Config, rules)
	if err != nil {
		return "", 0, err
	}
	for i, step := range t.Steps {
		if !slices.Contains(s.EnabledSteps(&t.Config), step) {
			return "", i, fmt.Errorf("step %d is not possible", i+1)
		}
		if s, err = s.Apply(&t.Config, rules, step); err != nil {
			return "", i, err
		}
		if text := findViolation(&t.Config, s, properties); text != "" {
			return text, i + 1, nil
		}
	}
	return "", len(t.Steps), nil
}

// Text formats a trace as numbered lines.
func (t *Trace) Text(rules *Rules) string {
	s, err := InitialState(&t.Config, rules)
	if err != nil {
		return err.Error()
	}
	var b strings.Builder
	for i, step := range t.Steps {
		fmt.Fprintf(&b, "%3d. %s\n", i+1, s.Describe(&t.Config, step))
		if !slices.Contains(s.EnabledSteps(&t.Config), step) {
			fmt.Fprintf(&b, "     (this step is not possible)\n")
			break
		}
		if s, err = s.Apply(&t.Config, rules, step); err != nil {
			fmt.Fprintf(&b, "     (%v)\n", err)
			break
		}
	}
	if t.Violation != "" {
		fmt.Fprintf(&b, "     %s\n", t.Violation)
	}
	return b.String()
}

// Marshal returns the stored form of a trace, which ParseTrace reads.
func (t *Trace) Marshal() ([]byte, error) { return json.MarshalIndent(t, "", " ") }

// ParseTrace reads a stored trace. It returns an error if the text is malformed or the trace's config is invalid.
func ParseTrace(text []byte) (*Trace, error) {
	t := &Trace{}
	if err := json.Unmarshal(text, t); err != nil {
		return nil, fmt.Errorf("not a trace: %w", err)
	}
	return t, t.Config.Validate()
}
