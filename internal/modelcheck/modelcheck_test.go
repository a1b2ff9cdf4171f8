package modelcheck

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/core"
)

func newConfig(change func(c *Config)) Config {
	c := Minimal
	c.Effects = slices.Clone(c.Effects)
	change(&c)
	return c
}

func explore(t *testing.T, c Config, rules *Rules) *Result {
	t.Helper()
	x := Exploration{Config: c, Rules: rules}
	f, err := x.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// In whole small worlds nothing fails, and each time the same number of states is seen.
func TestSmallWorlds(t *testing.T) {
	for name, c := range map[string]struct {
		config Config
		states int
	}{
		"nothing goes wrong":  {newConfig(func(c *Config) {}), 15},
		"run-once, two break": {newConfig(func(c *Config) { c.Effects[0], c.Servers, c.CallFailures = "run-once", 2, 2 }), 256},
		"drained in mid-retry": {newConfig(func(c *Config) {
			c.Effects[0], c.Servers, c.CallFailures, c.Drains, c.DelayedWrites = "fingerprinted", 2, 1, 1, 1
		}), 5246},
		"groups by zone": {newConfig(func(c *Config) {
			c.Effects[0], c.Scope, c.Servers, c.CallFailures, c.Restarts = "fingerprinted", "zone", 2, 2, 1
		}), 9771},
		"a client goes":    {newConfig(func(c *Config) { c.Effects[0], c.ClientCancels, c.DelayedWrites, c.CallFailures = "run-once", 1, 1, 1 }), 817},
		"a router freezes": {newConfig(func(c *Config) { c.RouterStalls, c.Drains, c.Servers, c.CallFailures = 1, 1, 2, 1 }), 24194},
		"two requests": {newConfig(func(c *Config) {
			c.Requests, c.CallFailures, c.ClientCancels, c.Effects = 2, 1, 1, []string{"run-once", "restartable"}
		}), 9991},
		"orders": {newConfig(func(c *Config) { c.LoadCommands, c.FunctionLoaded, c.CallFailures, c.ClientCancels = true, false, 1, 1 }), 12196},
		"a server in slow start": {newConfig(func(c *Config) {
			c.SlowStartServer, c.FunctionLoaded, c.Requests, c.Routers, c.Servers = true, false, 2, 2, 2
		}), 517},
	} {
		f := explore(t, c.config, &ProductionRules)
		if f.Trace != nil {
			t.Errorf("%s: %s", name, f.Trace.Text(&ProductionRules))
		}
		if !f.Complete || f.States != c.states {
			t.Errorf("%s: complete %t, %d states, want %d", name, f.Complete, f.States, c.states)
		}
	}
}

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
			r.Give = func(a *attempt.FinalAnswer) bool { a.Given = true; return true }
			r.AttemptEnded = func(a *attempt.FinalAnswer, res control.Result) attempt.Delivery {
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
			r.BrokenResult = func(bool, attempt.BreakReason) control.Result { return control.NotSent }
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
			r.Write = func(s attempt.Stage, _ bool, _, _ control.Micros) (attempt.Stage, bool) { return attempt.Writing, true }
		}), "drained"},
		"a list's age counted from the choice": {newConfig(func(c *Config) {
			c.RouterStalls, c.Drains, c.Servers, c.Requests, c.ArrivalInterval, c.MaxDeadline = 1, 1, 2, 2, 700_000, 600_000
		}), with(func(r *Rules) {
			r.MustReadEndpoints = func(_, _ control.Micros) bool { return false }
			r.WriteUntil = func(_, chosen, grace control.Micros) control.Micros { return attempt.WriteUntil(chosen, grace) }
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

// Traces of violations whose cause was fixed are replayed.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("traces/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no traces: %v", err)
	}
	for _, name := range files {
		b, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		s, err := ParseTrace(b)
		if err != nil {
			t.Fatal(err)
		}
		if wrong, after, _ := s.Replay(&ProductionRules, Properties); wrong != "" {
			t.Errorf("%s fails after %d steps: %s", name, after, wrong)
		}
	}
}

// The same states are seen whatever the number of workers, with states spilled to files, and in two parts.
func TestWorkersSpillAndResume(t *testing.T) {
	s := newConfig(func(c *Config) { c.Servers, c.CallFailures, c.Drains = 2, 1, 1 })
	runExploration := func(x Exploration) *Result {
		t.Helper()
		x.Config = s
		f, err := x.Run(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		return f
	}
	one, many := runExploration(Exploration{Workers: 1, MaxDepth: 12}), runExploration(Exploration{Workers: 7, MaxDepth: 12})
	dir := t.TempDir()
	runExploration(Exploration{Dir: dir, MaxDepth: 7})
	rest := runExploration(Exploration{Dir: dir, MaxDepth: 12, MaxInMemory: 10})
	for _, f := range []*Result{many, rest} {
		if f.States != one.States || f.Steps != one.Steps || f.Depth != one.Depth {
			t.Errorf("%+v, with one worker %+v", f.Progress, one.Progress)
		}
	}
	other := Exploration{Config: Minimal, Dir: dir}
	if _, err := other.Run(context.Background()); err == nil {
		t.Error("an exploration of another world was resumed")
	}
}

// A violation whose way back to the beginning is not known, since what was saved lacks a part, is an error and not a clean result.
func TestViolationWithoutOriginIsAnError(t *testing.T) {
	answersTwice := ProductionRules
	answersTwice.Give = func(a *attempt.FinalAnswer) bool { a.Given = true; return true }
	answersTwice.AttemptEnded = func(a *attempt.FinalAnswer, result control.Result) attempt.Delivery {
		a.InFlight--
		if result == control.Succeeded {
			return attempt.Deliver
		}
		return attempt.AskPolicy
	}
	dir := t.TempDir()
	config := newConfig(func(c *Config) { c.ClientCancels = 1 })
	first := Exploration{Config: config, Dir: dir, MaxDepth: 1}
	if _, err := first.Run(context.Background()); err != nil {
		t.Fatal(err)
	}
	name := filepath.Join(dir, resumeName)
	var saved savedExploration
	b, err := os.ReadFile(name)
	if err == nil {
		err = cbor.Unmarshal(b, &saved)
	}
	if err != nil {
		t.Fatal(err)
	}
	saved.Keys, saved.Origins = nil, nil
	if b, err = cbor.Marshal(saved); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(name, b, 0o600); err != nil {
		t.Fatal(err)
	}
	rest := Exploration{Config: config, Rules: &answersTwice, Dir: dir}
	if f, err := rest.Run(context.Background()); err == nil {
		t.Errorf("no error; complete %t, a trace: %t", f.Complete, f.Trace != nil)
	}
}

// Random walks through larger worlds find nothing either, and what a walk finds is minimized.
func TestRandomWalks(t *testing.T) {
	large := newConfig(func(c *Config) {
		c.Requests, c.Servers, c.Routers, c.Effects = 3, 3, 2, []string{"run-once", "fingerprinted", "restartable"}
		c.CallFailures, c.Drains, c.Restarts, c.ClientCancels, c.DelayedWrites, c.RouterStalls = 4, 1, 1, 1, 1, 1
	})
	rapid.Check(t, func(t *rapid.T) {
		trace, _, err := RandomWalk(large, &ProductionRules, Properties, 60, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "step") })
		if err != nil {
			t.Fatal(err)
		}
		if trace != nil {
			t.Fatalf("%s", trace.Text(&ProductionRules))
		}
	})
	bad := ProductionRules
	bad.Withdraw = func(s attempt.Stage) (attempt.Stage, bool) { return s, false }
	for seed := uint64(0); seed < 2000; seed++ {
		trace, _, err := RandomWalk(large, &bad, []Property{nothingAfterAnswer}, 120, RandomChoice(seed))
		if err != nil {
			t.Fatal(err)
		}
		if trace != nil {
			if len(trace.Steps) > 4 {
				t.Errorf("not minimized:\n%s", trace.Text(&bad))
			}
			return
		}
	}
	t.Error("no walk found what was planted")
}
