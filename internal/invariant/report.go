package invariant

import (
	"fmt"
	"slices"
)

// Rule is the finding on one rule.
type Rule struct {
	Number         int      `json:"Number"`
	Name           string   `json:"Name"`
	Opportunities  int      `json:"Opportunities"` // times that it could have been broken
	Violations     []string `json:"Breaches"`      // the first few
	ViolationCount int      `json:"Count"`         // all
}

func (r *Rule) violation(at int64, text string, args ...any) {
	r.ViolationCount++
	if len(r.Violations) < 5 {
		r.Violations = append(r.Violations, fmt.Sprintf("at %.3f s: ", float64(at)/1e6)+fmt.Sprintf(text, args...))
	}
}

// Verdict is the finding on a day.
type Report struct {
	Rules       []*Rule           `json:"Rules"`
	Requests    int               `json:"Jobs"`
	Succeeded   int               `json:"Finished"`
	Rejected    int               `json:"PushedBack"`
	Failed      int               `json:"Killed"`
	Unanswered  int               `json:"Unanswered"`
	Abandoned   int               `json:"Left"`
	NotAdmitted int               `json:"Other"`
	Excused     int               `json:"Excused"` // asked of a router that was halted before their answer was due
	Attempts    int               `json:"Executions"`
	Retries     int               `json:"Repeats"`
	SlowStart   []SlowStartWindow `json:"Cold"` // jobs that reached servers while they were cold
}

// Window is how much of its budget a cold server had got when a job reached it; above 1 the fourth rule is broken.
type SlowStartWindow struct {
	At         int64   `json:"At"`
	Server     int     `json:"Server"`
	BudgetUsed float64 `json:"Share"`
}

// Kept tells whether no rule was broken.
func (v *Report) Passed() bool {
	return !slices.ContainsFunc(v.Rules, func(r *Rule) bool { return r.ViolationCount > 0 })
}
