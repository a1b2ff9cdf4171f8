package modelcheck

import (
	"context"
	"testing"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/core"
)

// changedDecisions is a policy that plants wrong decisions.
type changedDecisions struct {
	*control.Balancer
	change func(r *control.Request, d control.Decision) control.Decision
}

func (p changedDecisions) Inner() *control.Balancer { return p.Balancer }

func (p changedDecisions) Route(now control.Micros, r *control.Request) control.Decision {
	return p.change(r, p.Balancer.Route(now, r))
}

func (p changedDecisions) HandleOutcome(now control.Micros, r *control.Request, o control.Outcome) control.Decision {
	return p.change(r, p.Balancer.HandleOutcome(now, r, o))
}

// forgetsRuns forgets which attempts may have run.
type forgetsRuns struct{ *control.Balancer }

func (p forgetsRuns) Inner() *control.Balancer { return p.Balancer }

func (p forgetsRuns) HandleOutcome(now control.Micros, r *control.Request, o control.Outcome) control.Decision {
	if o.Result == control.ConnectionReset || o.Result == control.TimedOut {
		o.Result = control.Overloaded
	}
	return p.Balancer.HandleOutcome(now, r, o)
}

// forgetsResets forgets the end of attempts whose connection broke.
type forgetsResets struct{ *control.Balancer }

func (p forgetsResets) Inner() *control.Balancer { return p.Balancer }

func (p forgetsResets) HandleOutcome(now control.Micros, r *control.Request, o control.Outcome) control.Decision {
	if o.Result == control.ConnectionReset && !o.RequestDone {
		return control.Decision{Action: control.Fail}
	}
	return p.Balancer.HandleOutcome(now, r, o)
}

// ignoresDrains takes draining servers for ready ones.
type ignoresDrains struct{ *control.Balancer }

func (p ignoresDrains) Inner() *control.Balancer { return p.Balancer }

func (p ignoresDrains) UpdateEndpoints(now control.Micros, kind control.UpdateKind, list []control.Endpoint) {
	for i := range list {
		list[i].State = control.Ready
	}
	p.Balancer.UpdateEndpoints(now, kind, list)
}

// Each planted wrong decision is found, with a trace that the production rules don't let happen.
func TestPlantedBugsAreFound(t *testing.T) {
	with := func(change func(r *Rules)) *Rules {
		r := ProductionRules
		change(&r)
		return &r
	}
	decide := func(f func(r *control.Request, d control.Decision) control.Decision) *Rules {
		return with(func(r *Rules) { r.WrapPolicy = func(m *control.Balancer) core.Policy { return changedDecisions{m, f} } })
	}
	nonIdempotent := newConfig(func(c *Config) { c.Effects[0], c.Servers, c.CallFailures = "run-once", 2, 1 })
	keyed := newConfig(func(c *Config) {
		c.Effects[0], c.Servers, c.CallFailures, c.DedupWindow, c.LatencyObjective, c.MaxDeadline = "fingerprinted", 2, 1, 100_000, 600_000, 900_000
	})
	for name, c := range map[string]struct {
		config Config
		rules  *Rules
		want   string
	}{
		"two answers": {newConfig(func(c *Config) { c.ClientCancels = 1 }), with(func(r *Rules) {
			r.DecideResponse = func(a *attempt.FinalResponse) bool { a.Decided = true; return true }
			r.AttemptEnded = func(a *attempt.FinalResponse, res control.Result) attempt.Delivery {
				a.InFlight--
				if res == control.Succeeded {
					return attempt.Deliver
				}
				return attempt.AskPolicy
			}
		}), "one-answer"},
		"nothing is withdrawn": {newConfig(func(c *Config) { c.ClientCancels, c.DelayedWrites = 1, 1 }), with(func(r *Rules) {
			r.Withdraw = func(s attempt.Stage) (attempt.Stage, bool) { return s, false }
		}), "nothing-after"},
		"written when withdrawn": {newConfig(func(c *Config) { c.ClientCancels, c.DelayedWrites = 1, 1 }), with(func(r *Rules) {
			r.Withdraw = func(s attempt.Stage) (attempt.Stage, bool) { return s, s == attempt.Chosen }
		}), "nothing-after"},
		"leaked slot": {newConfig(func(c *Config) { c.CallFailures, c.Servers = 1, 2 }), with(func(r *Rules) {
			r.WrapPolicy = func(m *control.Balancer) core.Policy { return forgetsResets{m} }
		}), "nothing-left"},
		"a reset taken for a proof": {nonIdempotent, with(func(r *Rules) {
			r.InterruptedResult = func(bool, attempt.InterruptReason) control.Result { return control.NotSent }
		}), "proved"},
		"wrong MayHaveRun": {nonIdempotent, with(func(r *Rules) {
			r.WrapPolicy = func(m *control.Balancer) core.Policy { return forgetsRuns{m} }
		}), "run-once"},
		"non-idempotent rejected": {nonIdempotent, decide(func(r *control.Request, d control.Decision) control.Decision {
			if d.Action == control.Fail {
				d.Action = control.Reject
			}
			return d
		}), "harmless"},
		"calls are written too late": {newConfig(func(c *Config) {
			c.RouterStalls, c.Drains, c.Servers, c.MaxDeadline, c.LatencyObjective = 1, 1, 2, 1_500_000, 1_200_000
		}), with(func(r *Rules) {
			r.BeginWrite = func(s attempt.Stage, _ bool, _, _ control.Micros) (attempt.Stage, bool) { return attempt.Writing, true }
		}), "drained"},
		"a list's age counted from the choice": {newConfig(func(c *Config) {
			c.RouterStalls, c.Drains, c.Servers, c.Requests, c.ArrivalInterval, c.MaxDeadline = 1, 1, 2, 2, 700_000, 600_000
		}), with(func(r *Rules) {
			r.MustReadEndpoints = func(_, _ control.Micros) bool { return false }
			r.WriteDeadline = func(_, chosen, grace control.Micros) control.Micros { return attempt.WriteDeadline(chosen, grace) }
		}), "drained"},
		"drains ignored": {newConfig(func(c *Config) { c.Drains, c.Requests, c.ArrivalInterval, c.MaxDeadline = 1, 2, 600_000, 400_000 }), with(func(r *Rules) {
			r.WrapPolicy = func(m *control.Balancer) core.Policy { return ignoresDrains{m} }
		}), "drained"},
		"window from the wrong end": {keyed, with(func(r *Rules) {
			r.WrapPolicy = func(m *control.Balancer) core.Policy { return countsWindowLate{m} }
		}), "in-window"},
		"failed without a reason": {newConfig(func(c *Config) { c.Requests = 2 }), decide(func(r *control.Request, d control.Decision) control.Decision {
			if r.ID == 2 && d.Action == control.Forward {
				return control.Decision{Action: control.Fail}
			}
			return d
		}), "served"},
		"held for ever": {newConfig(func(c *Config) { c.CallFailures, c.FailureModes = 1, []string{"refused"} }), decide(func(r *control.Request, d control.Decision) control.Decision {
			if d.Action == control.Reject {
				return control.Decision{Action: control.Hold, RecheckAt: r.Deadline + 1_000_000}
			}
			return d
		}), "answered"},
	} {
		properties, _ := SelectProperties([]string{c.want})
		x := Exploration{Config: c.config, Rules: c.rules, Properties: properties}
		f, err := x.Run(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		if f.Trace == nil {
			t.Errorf("%s: not found in %d states", name, f.States)
			continue
		}
		t.Logf("%s: %d states, %.2f s, a trace of %d steps: %s", name, f.States, f.Elapsed.Seconds(), len(f.Trace.Steps), f.Trace.Violation)
		if wrong, _, _ := f.Trace.Replay(&ProductionRules, Properties); wrong != "" {
			t.Errorf("%s: the production rules fail too: %s", name, wrong)
		}
	}
}

// countsWindowLate counts the dedup window from a time after an attempt was sent.
type countsWindowLate struct{ *control.Balancer }

func (p countsWindowLate) Inner() *control.Balancer { return p.Balancer }

func (p countsWindowLate) Route(now control.Micros, r *control.Request) control.Decision {
	return p.forward(r, func() control.Decision { return p.Balancer.Route(now, r) })
}

func (p countsWindowLate) HandleOutcome(now control.Micros, r *control.Request, o control.Outcome) control.Decision {
	return p.forward(r, func() control.Decision { return p.Balancer.HandleOutcome(now, r, o) })
}

func (p countsWindowLate) forward(r *control.Request, f func() control.Decision) control.Decision {
	const by = 300_000
	n := len(r.Attempts)
	for i := range n {
		r.Attempts[i].SentAt += by
	}
	d := f()
	for i := range n {
		r.Attempts[i].SentAt -= by
	}
	return d
}
