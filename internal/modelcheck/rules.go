package modelcheck

import (
	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/core"
)

// Rules are the functions that routers use besides the core. ProductionRules are those of the production code; tests
// replace some of them to plant bugs.
type Rules struct {
	Withdraw          func(attempt.Stage) (attempt.Stage, bool)
	BeginWrite        func(s attempt.Stage, journaled bool, now, until control.Micros) (attempt.Stage, bool)
	Cancel            func(*attempt.Progress) bool
	AttemptEnded      func(*attempt.FinalResponse, control.Result) attempt.Delivery
	DecideResponse    func(*attempt.FinalResponse) bool
	UnconnectedResult func(s attempt.Stage, waited bool) control.Result
	InterruptedResult func(written bool, reason attempt.InterruptReason) control.Result
	MustReadEndpoints func(age, grace control.Micros) bool
	WriteDeadline     func(endpointsAsOf, chosen, grace control.Micros) control.Micros
	WrapPolicy        func(*control.Balancer) core.Policy // nil: the balancer itself
}

// ProductionRules are the rules of the production code.
var ProductionRules = Rules{
	Withdraw:          attempt.Stage.Withdraw,
	BeginWrite:        attempt.Stage.BeginWrite,
	Cancel:            (*attempt.Progress).Cancel,
	AttemptEnded:      (*attempt.FinalResponse).AttemptEnded,
	DecideResponse:    (*attempt.FinalResponse).Decide,
	UnconnectedResult: attempt.UnconnectedResult,
	InterruptedResult: attempt.InterruptedResult,
	MustReadEndpoints: attempt.MustReadEndpoints,
	WriteDeadline: func(endpointsAsOf, _, grace control.Micros) control.Micros {
		return attempt.WriteDeadline(endpointsAsOf, grace)
	},
}
