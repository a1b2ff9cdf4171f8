package invariant

import (
	"fmt"
	"slices"
)

// Indices of the rules in a report.
const (
	RuleResponses = iota // every request gets exactly one final answer, before its deadline
	RuleEffects          // no effect that must not be repeated is run twice
	RuleDrain            // no attempts or load commands go to servers that drain or were withdrawn
	RuleSlowStart        // servers in slow start get no more requests than their budget
	RuleLoadRate         // routers send no more load commands than their limit
)

// ruleNames are the names that reports print.
var ruleNames = []string{"every job one final answer in time", "no effect twice", "drains kept", "cold servers not pushed over", "orders rationed"}

// maxExamples is how many violations of a rule a report describes.
const maxExamples = 5

// Rule is the result for one invariant.
type Rule struct {
	Number         int      `json:"Number"` // from 1
	Name           string   `json:"Name"`
	CheckCount     int      `json:"Opportunities"` // how often it was checked, and could have been violated
	Violations     []string `json:"Breaches"`      // descriptions of the first few
	ViolationCount int      `json:"Count"`
}

func (r *Rule) addViolation(at int64, format string, args ...any) {
	r.ViolationCount++
	if len(r.Violations) < maxExamples {
		r.Violations = append(r.Violations, fmt.Sprintf("at %.3f s: ", float64(at)/1e6)+fmt.Sprintf(format, args...))
	}
}

// Report is the result of checking a run. Scripts read its JSON form, so the names in the tags must not change.
type Report struct {
	Rules               []*Rule           `json:"Rules"` // by index
	Requests            int               `json:"Jobs"`
	Succeeded           int               `json:"Finished"`
	Rejected            int               `json:"PushedBack"`
	Failed              int               `json:"Killed"`
	Unanswered          int               `json:"Unanswered"`
	Abandoned           int               `json:"Left"`
	NotAdmitted         int               `json:"Other"`
	UnansweredWhileDown int               `json:"Excused"` // no violation, since the router was down before the deadline
	Attempts            int               `json:"Executions"`
	Retries             int               `json:"Repeats"` // requests with more than one attempt
	SlowStart           []SlowStartWindow `json:"Cold"`    // one for each attempt that reached a server in slow start
}

// SlowStartWindow is the share of its budget that a server in slow start had received when a request reached it. Above 1, RuleSlowStart
// is violated.
type SlowStartWindow struct {
	At         int64   `json:"At"` // microseconds
	Server     int     `json:"Server"`
	BudgetUsed float64 `json:"Share"`
}

func newReport() *Report {
	r := &Report{}
	for i, name := range ruleNames {
		r.Rules = append(r.Rules, &Rule{Number: i + 1, Name: name})
	}
	return r
}

// Passed reports whether no rule was violated.
func (r *Report) Passed() bool {
	return !slices.ContainsFunc(r.Rules, func(rule *Rule) bool { return rule.ViolationCount > 0 })
}
