package modelcheck

import (
	"context"
	"testing"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/core"
)

// alteredPolicy is the balancer with some of its decisions changed.
type alteredPolicy struct {
	*control.Balancer
	change func(r *control.Request, d control.Decision) control.Decision
}

func (p alteredPolicy) Inner() *control.Balancer { return p.Balancer }

func (p alteredPolicy) Route(now control.Micros, r *control.Request) control.Decision {
	return p.change(r, p.Balancer.Route(now, r))
}

func (p alteredPolicy) HandleOutcome(now control.Micros, r *control.Request, o control.Outcome) control.Decision {
	return p.change(r, p.Balancer.HandleOutcome(now, r, o))
}

// mayHaveRunIgnoringPolicy treats attempts that may have run as rejected by the server.
type mayHaveRunIgnoringPolicy struct{ *control.Balancer }

func (p mayHaveRunIgnoringPolicy) Inner() *control.Balancer { return p.Balancer }

func (p mayHaveRunIgnoringPolicy) HandleOutcome(now control.Micros, r *control.Request, o control.Outcome) control.Decision {
	if o.Result == control.ConnectionReset || o.Result == control.TimedOut {
		o.Result = control.Overloaded
	}
	return p.Balancer.HandleOutcome(now, r, o)
}

// resetIgnoringPolicy does not release attempts whose connection was reset.
type resetIgnoringPolicy struct{ *control.Balancer }

func (p resetIgnoringPolicy) Inner() *control.Balancer { return p.Balancer }

func (p resetIgnoringPolicy) HandleOutcome(now control.Micros, r *control.Request, o control.Outcome) control.Decision {
	if o.Result == control.ConnectionReset && !o.RequestDone {
		return control.Decision{Action: control.Fail}
	}
	return p.Balancer.HandleOutcome(now, r, o)
}

// drainIgnoringPolicy treats draining servers as ready.
type drainIgnoringPolicy struct{ *control.Balancer }

func (p drainIgnoringPolicy) Inner() *control.Balancer { return p.Balancer }

func (p drainIgnoringPolicy) UpdateEndpoints(now control.Micros, kind control.UpdateKind, list []control.Endpoint) {
	for i := range list {
		list[i].State = control.Ready
	}
	p.Balancer.UpdateEndpoints(now, kind, list)
}

// Each planted bug is found, and its trace violates no property under the production rules.
func TestPlantedBugsAreFound(t *testing.T) {
	with := func(change func(r *Rules)) *Rules {
		r := ProductionRules
		change(&r)
		return &r
	}
	decide := func(change func(r *control.Request, d control.Decision) control.Decision) *Rules {
		return with(func(r *Rules) {
			r.WrapPolicy = func(b *control.Balancer) core.Policy { return alteredPolicy{b, change} }
		})
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
		"two final responses": {newConfig(func(c *Config) { c.ClientCancels = 1 }), with(func(r *Rules) {
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
		"withdrawn attempts are written": {newConfig(func(c *Config) { c.ClientCancels, c.DelayedWrites = 1, 1 }), with(func(r *Rules) {
			r.Withdraw = func(s attempt.Stage) (attempt.Stage, bool) { return s, s == attempt.Chosen }
		}), "nothing-after"},
		"leaked slot": {newConfig(func(c *Config) { c.CallFailures, c.Servers = 1, 2 }), with(func(r *Rules) {
			r.WrapPolicy = func(b *control.Balancer) core.Policy { return resetIgnoringPolicy{b} }
		}), "nothing-left"},
		"a reset counts as proof that the attempt did not run": {nonIdempotent, with(func(r *Rules) {
			r.InterruptedResult = func(bool, attempt.InterruptReason) control.Result { return control.NotSent }
		}), "proved"},
		"MayHaveRun is lost": {nonIdempotent, with(func(r *Rules) {
			r.WrapPolicy = func(b *control.Balancer) core.Policy { return mayHaveRunIgnoringPolicy{b} }
		}), "run-once"},
		"non-idempotent rejected": {nonIdempotent, decide(func(r *control.Request, d control.Decision) control.Decision {
			if d.Action == control.Fail {
				d.Action = control.Reject
			}
			return d
		}), "harmless"},
		"no write deadline": {newConfig(func(c *Config) {
			c.RouterStalls, c.Drains, c.Servers, c.MaxDeadline, c.LatencyObjective = 1, 1, 2, 1_500_000, 1_200_000
		}), with(func(r *Rules) {
			r.BeginWrite = func(s attempt.Stage, _ bool, _, _ control.Micros) (attempt.Stage, bool) { return attempt.Writing, true }
		}), "drained"},
		"write deadline counts from the choice instead of the endpoint list": {newConfig(func(c *Config) {
			c.RouterStalls, c.Drains, c.Servers, c.Requests, c.ArrivalInterval, c.MaxDeadline = 1, 1, 2, 2, 700_000, 600_000
		}), with(func(r *Rules) {
			r.MustReadEndpoints = func(_, _ control.Micros) bool { return false }
			r.WriteDeadline = func(_, chosen, grace control.Micros) control.Micros { return attempt.WriteDeadline(chosen, grace) }
		}), "drained"},
		"drains are ignored": {newConfig(func(c *Config) { c.Drains, c.Requests, c.ArrivalInterval, c.MaxDeadline = 1, 2, 600_000, 400_000 }), with(func(r *Rules) {
			r.WrapPolicy = func(b *control.Balancer) core.Policy { return drainIgnoringPolicy{b} }
		}), "drained"},
		"dedup window counts from too late": {keyed, with(func(r *Rules) {
			r.WrapPolicy = func(b *control.Balancer) core.Policy { return lateWindowPolicy{b} }
		}), "in-window"},
		"failed without a cause": {newConfig(func(c *Config) { c.Requests = 2 }), decide(func(r *control.Request, d control.Decision) control.Decision {
			if r.ID == 2 && d.Action == control.Forward {
				return control.Decision{Action: control.Fail}
			}
			return d
		}), "served"},
		"held beyond the deadline": {newConfig(func(c *Config) { c.CallFailures, c.FailureModes = 1, []string{"refused"} }), decide(func(r *control.Request, d control.Decision) control.Decision {
			if d.Action == control.Reject {
				return control.Decision{Action: control.Hold, RecheckAt: r.Deadline + 1_000_000}
			}
			return d
		}), "answered"},
	} {
		properties, _ := SelectProperties([]string{c.want})
		x := Exploration{Config: c.config, Rules: c.rules, Properties: properties}
		result, err := x.Run(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		if result.Trace == nil {
			t.Errorf("%s: bug not found in %d states", name, result.States)
			continue
		}
		t.Logf("%s: %d states, %.2f s, a trace of %d steps: %s", name, result.States, result.Elapsed.Seconds(), len(result.Trace.Steps), result.Trace.Violation)
		if wrong, _, _ := result.Trace.Replay(&ProductionRules, Properties); wrong != "" {
			t.Errorf("%s: a property fails with the production rules, too: %s", name, wrong)
		}
	}
}

// lateWindowPolicy counts the dedup window from 300 ms after an attempt was sent.
type lateWindowPolicy struct{ *control.Balancer }

func (p lateWindowPolicy) Inner() *control.Balancer { return p.Balancer }

func (p lateWindowPolicy) Route(now control.Micros, r *control.Request) control.Decision {
	return p.forward(r, func() control.Decision { return p.Balancer.Route(now, r) })
}

func (p lateWindowPolicy) HandleOutcome(now control.Micros, r *control.Request, o control.Outcome) control.Decision {
	return p.forward(r, func() control.Decision { return p.Balancer.HandleOutcome(now, r, o) })
}

func (p lateWindowPolicy) forward(r *control.Request, f func() control.Decision) control.Decision {
	const delay = 300_000
	n := len(r.Attempts)
	for i := range n {
		r.Attempts[i].SentAt += delay
	}
	d := f()
	for i := range n {
		r.Attempts[i].SentAt -= delay
	}
	return d
}
