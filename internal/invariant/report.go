package invariant

import (
	"fmt"
	"slices"
)

// Indices of the rules in a report.
const (
	RuleResponses = iota // every request gets one final answer, in time
	RuleEffects          // nothing runs twice that may not
	RuleDrain            // nothing new goes to servers that drain or are withdrawn
	RuleSlowStart        // servers in slow start get no more than they bear
	RuleLoadRate         // routers keep their limit on load commands
)

// ruleNames are as reports print them.
var ruleNames = []string{"every job one final answer in time", "no effect twice", "drains kept", "cold servers not pushed over", "orders rationed"}

// maxExamples is how many violations of a rule a report describes.
const maxExamples = 5

// Rule is the finding on one invariant.
type Rule struct {
	Number         int      `json:"Number"` // from 1
	Name           string   `json:"Name"`
	CheckCount     int      `json:"Opportunities"` // times that it could have been violated
	Violations     []string `json:"Breaches"`      // descriptions of the first few
	ViolationCount int      `json:"Count"`
}

func (r *Rule) addViolation(at int64, format string, args ...any) {
	r.ViolationCount++
	if len(r.Violations) < maxExamples {
		r.Violations = append(r.Violations, fmt.Sprintf("at %.3f s: ", float64(at)/1e6)+fmt.Sprintf(format, args...))
	}
}

// Report is the finding on a run. Its JSON form is read by scripts: the names in the tags stay.
type Report struct {
	Rules               []*Rule           `json:"Rules"` // by index
	Requests            int               `json:"Jobs"`
	Succeeded           int               `json:"Finished"`
	Rejected            int               `json:"PushedBack"`
	Failed              int               `json:"Killed"`
	Unanswered          int               `json:"Unanswered"`
	Abandoned           int               `json:"Left"`
	NotAdmitted         int               `json:"Other"`
	UnansweredWhileDown int               `json:"Excused"` // without an answer, but their router was down before their deadline
	Attempts            int               `json:"Executions"`
	Retries             int               `json:"Repeats"` // requests with more than one attempt
	SlowStart           []SlowStartWindow `json:"Cold"`    // one for each attempt that reached a server in slow start
}

// SlowStartWindow is how much of its budget a server in slow start had got when a request reached it. Above 1 RuleSlowStart is
// violated.
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
