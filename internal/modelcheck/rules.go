package modelcheck

import (
	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/core"
)

// Rules are what decides in a world, beside the core. Explorations of what is shipped use ProductionRules; tests plant others.
type Rules struct {
	Withdraw          func(attempt.Stage) (attempt.Stage, bool)
	Write             func(s attempt.Stage, journaled bool, now, until control.Micros) (attempt.Stage, bool)
	Cancel            func(*attempt.Progress) bool
	AttemptEnded      func(*attempt.FinalResponse, control.Result) attempt.Delivery
	Give              func(*attempt.FinalResponse) bool
	UndialledResult   func(s attempt.Stage, waited bool) control.Result
	BrokenResult      func(written bool, reason attempt.InterruptReason) control.Result
	MustReadEndpoints func(age, grace control.Micros) bool
	WriteUntil        func(endpointsAsOf, chosen, grace control.Micros) control.Micros
	WrapPolicy        func(*control.Balancer) core.Policy // nil: the balancer itself
}

// ProductionRules are the rules that are shipped.
var ProductionRules = Rules{
	Withdraw:          attempt.Stage.Withdraw,
	Write:             attempt.Stage.BeginWrite,
	Cancel:            (*attempt.Progress).Cancel,
	AttemptEnded:      (*attempt.FinalResponse).AttemptEnded,
	Give:              (*attempt.FinalResponse).Decide,
	UndialledResult:   attempt.UnconnectedResult,
	BrokenResult:      attempt.InterruptedResult,
	MustReadEndpoints: attempt.MustReadEndpoints,
	WriteUntil: func(endpointsAsOf, _, grace control.Micros) control.Micros {
		return attempt.WriteDeadline(endpointsAsOf, grace)
	},
}
