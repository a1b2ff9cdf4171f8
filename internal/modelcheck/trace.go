package modelcheck

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Trace is how a state is reached, and what is wrong there. It is saved as JSON, under earlier names, and replayed by later builds.
type Trace struct {
	Config    Config `json:"Setup"`
	Steps     []Step `json:"Steps"`
	Violation string `json:"Wrong"` // a property's name and what it says; empty: none
}

// Replay takes a trace's steps under some rules until a property fails, and returns what it says (empty: none fails) and after how
// many steps. An error says that one of the steps can't happen under the rules, which is as good as no violation where the
// rules were changed to that end.
func (t *Trace) Replay(rules *Rules, properties []Property) (violation string, after int, err error) {
	s, err := InitialState(&t.Config, rules)
	if err != nil {
		return "", 0, err
	}
	for i, step := range t.Steps {
		if !slices.Contains(s.EnabledSteps(&t.Config), step) {
			return "", i, fmt.Errorf("step %d can't happen", i+1)
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

// Text returns a trace as numbered lines.
func (t *Trace) Text(rules *Rules) string {
	s, err := InitialState(&t.Config, rules)
	if err != nil {
		return err.Error()
	}
	var b strings.Builder
	for i, step := range t.Steps {
		fmt.Fprintf(&b, "%3d. %s\n", i+1, s.Describe(&t.Config, step))
		if !slices.Contains(s.EnabledSteps(&t.Config), step) {
			fmt.Fprintf(&b, "     (this can't happen)\n")
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

// Marshal returns a trace's stored form; ParseTrace reads it.
func (t *Trace) Marshal() ([]byte, error) { return json.MarshalIndent(t, "", " ") }

// ParseTrace reads a stored trace. Its errors are those of its form and of its config.
func ParseTrace(text []byte) (*Trace, error) {
	t := &Trace{}
	if err := json.Unmarshal(text, t); err != nil {
		return nil, fmt.Errorf("no trace: %w", err)
	}
	return t, t.Config.Validate()
}
