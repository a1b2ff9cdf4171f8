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

func world(change func(s *Config)) Config {
	s := Minimal
	s.Effects = slices.Clone(s.Effects)
	change(&s)
	return s
}

func run(t *testing.T, s Config, rules *Rules) *Result {
	t.Helper()
	x := Exploration{Config: s, Rules: rules}
	f, err := x.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// In whole small worlds nothing fails, and each time the same number of states is seen.
func TestSmallWorlds(t *testing.T) {
	for name, c := range map[string]struct {
		setup  Config
		states int
	}{
		"nothing goes wrong":  {world(func(s *Config) {}), 15},
		"run-once, two break": {world(func(s *Config) { s.Effects[0], s.Servers, s.CallFailures = "run-once", 2, 2 }), 256},
		"drained in mid-retry": {world(func(s *Config) {
			s.Effects[0], s.Servers, s.CallFailures, s.Drains, s.DelayedWrites = "fingerprinted", 2, 1, 1, 1
		}), 5246},
		"groups by zone": {world(func(s *Config) {
			s.Effects[0], s.Scope, s.Servers, s.CallFailures, s.Restarts = "fingerprinted", "zone", 2, 2, 1
		}), 9771},
		"a client goes":    {world(func(s *Config) { s.Effects[0], s.ClientCancels, s.DelayedWrites, s.CallFailures = "run-once", 1, 1, 1 }), 817},
		"a router freezes": {world(func(s *Config) { s.RouterStalls, s.Drains, s.Servers, s.CallFailures = 1, 1, 2, 1 }), 24194},
		"two jobs": {world(func(s *Config) {
			s.Requests, s.CallFailures, s.ClientCancels, s.Effects = 2, 1, 1, []string{"run-once", "restartable"}
		}), 9991},
		"orders": {world(func(s *Config) { s.LoadCommands, s.FunctionLoaded, s.CallFailures, s.ClientCancels = true, false, 1, 1 }), 12196},
		"a cold server": {world(func(s *Config) {
			s.SlowStartServer, s.FunctionLoaded, s.Requests, s.Routers, s.Servers = true, false, 2, 2, 2
		}), 517},
	} {
		f := run(t, c.setup, &ProductionRules)
		if f.Trace != nil {
			t.Errorf("%s: %s", name, f.Trace.Text(&ProductionRules))
		}
		if !f.Complete || f.States != c.states {
			t.Errorf("%s: complete %t, %d states, want %d", name, f.Complete, f.States, c.states)
		}
	}
}

// inner is a decider round the module that can plant wrong decisions.
type inner struct {
	*control.Balancer
	place func(j *control.Request, p control.Decision) control.Decision
}

func (i inner) Inner() *control.Balancer { return i.Balancer }

func (i inner) Route(now control.Micros, j *control.Request) control.Decision {
	return i.place(j, i.Balancer.Route(now, j))
}

func (i inner) HandleOutcome(now control.Micros, j *control.Request, o control.Outcome) control.Decision {
	return i.place(j, i.Balancer.HandleOutcome(now, j, o))
}

// careless forgets which executions may have run.
type careless struct{ *control.Balancer }

func (c careless) Inner() *control.Balancer { return c.Balancer }

func (c careless) HandleOutcome(now control.Micros, j *control.Request, o control.Outcome) control.Decision {
	if o.Result == control.ConnectionReset || o.Result == control.TimedOut {
		o.Result = control.Overloaded
	}
	return c.Balancer.HandleOutcome(now, j, o)
}

// leaky forgets the end of executions that broke.
type leaky struct{ *control.Balancer }

func (l leaky) Inner() *control.Balancer { return l.Balancer }

func (l leaky) HandleOutcome(now control.Micros, j *control.Request, o control.Outcome) control.Decision {
	if o.Result == control.ConnectionReset && !o.RequestDone {
		return control.Decision{Action: control.Fail}
	}
	return l.Balancer.HandleOutcome(now, j, o)
}

// deaf does not hear that servers drain.
type deaf struct{ *control.Balancer }

func (d deaf) Inner() *control.Balancer { return d.Balancer }

func (d deaf) UpdateEndpoints(now control.Micros, kind control.UpdateKind, list []control.Endpoint) {
	for i := range list {
		list[i].State = control.Ready
	}
	d.Balancer.UpdateEndpoints(now, kind, list)
}

// Each planted wrong decision is found, with a story that the real rules don't let come true.
func TestPlantedBugsAreFound(t *testing.T) {
	with := func(change func(r *Rules)) *Rules {
		r := ProductionRules
		change(&r)
		return &r
	}
	place := func(f func(j *control.Request, p control.Decision) control.Decision) *Rules {
		return with(func(r *Rules) { r.WrapPolicy = func(m *control.Balancer) core.Policy { return inner{m, f} } })
	}
	once := world(func(s *Config) { s.Effects[0], s.Servers, s.CallFailures = "run-once", 2, 1 })
	marked := world(func(s *Config) {
		s.Effects[0], s.Servers, s.CallFailures, s.DedupWindow, s.LatencyObjective, s.MaxDeadline = "fingerprinted", 2, 1, 100_000, 600_000, 900_000
	})
	for name, c := range map[string]struct {
		setup Config
		rules *Rules
		want  string
	}{
		"double answer": {world(func(s *Config) { s.ClientCancels = 1 }), with(func(r *Rules) {
			r.Give = func(a *attempt.FinalAnswer) bool { a.Given = true; return true }
			r.AttemptEnded = func(a *attempt.FinalAnswer, res control.Result) attempt.Delivery {
				a.InFlight--
				if res == control.Succeeded {
					return attempt.Deliver
				}
				return attempt.AskPolicy
			}
		}), "one-answer"},
		"forgotten call-off": {world(func(s *Config) { s.ClientCancels, s.DelayedWrites = 1, 1 }), with(func(r *Rules) {
			r.Withdraw = func(s attempt.Stage) (attempt.Stage, bool) { return s, false }
		}), "nothing-after"},
		"written when withdrawn": {world(func(s *Config) { s.ClientCancels, s.DelayedWrites = 1, 1 }), with(func(r *Rules) {
			r.Withdraw = func(s attempt.Stage) (attempt.Stage, bool) { return s, s == attempt.Chosen }
		}), "nothing-after"},
		"slot leak": {world(func(s *Config) { s.CallFailures, s.Servers = 1, 2 }), with(func(r *Rules) {
			r.WrapPolicy = func(m *control.Balancer) core.Policy { return leaky{m} }
		}), "nothing-left"},
		"a reset taken for a proof": {once, with(func(r *Rules) {
			r.BrokenResult = func(bool, attempt.BreakReason) control.Result { return control.NotSent }
		}), "proved"},
		"wrong MayRun": {once, with(func(r *Rules) {
			r.WrapPolicy = func(m *control.Balancer) core.Policy { return careless{m} }
		}), "run-once"},
		"run-once pushed back": {once, place(func(j *control.Request, p control.Decision) control.Decision {
			if p.Action == control.Fail {
				p.Action = control.Reject
			}
			return p
		}), "harmless"},
		"old choices are written": {world(func(s *Config) {
			s.RouterStalls, s.Drains, s.Servers, s.MaxDeadline, s.LatencyObjective = 1, 1, 2, 1_500_000, 1_200_000
		}), with(func(r *Rules) {
			r.Write = func(s attempt.Stage, _ bool, _, _ control.Micros) (attempt.Stage, bool) { return attempt.Writing, true }
		}), "drained"},
		"a list's age counted from the choice": {world(func(s *Config) {
			s.RouterStalls, s.Drains, s.Servers, s.Requests, s.ArrivalInterval, s.MaxDeadline = 1, 1, 2, 2, 700_000, 600_000
		}), with(func(r *Rules) {
			r.MustReadEndpoints = func(_, _ control.Micros) bool { return false }
			r.WriteUntil = func(_, chosen, grace control.Micros) control.Micros { return attempt.WriteUntil(chosen, grace) }
		}), "drained"},
		"deaf to drains": {world(func(s *Config) { s.Drains, s.Requests, s.ArrivalInterval, s.MaxDeadline = 1, 2, 600_000, 400_000 }), with(func(r *Rules) {
			r.WrapPolicy = func(m *control.Balancer) core.Policy { return deaf{m} }
		}), "drained"},
		"window from the wrong end": {marked, with(func(r *Rules) {
			r.WrapPolicy = func(m *control.Balancer) core.Policy { return late{m} }
		}), "in-window"},
		"killed without a reason": {world(func(s *Config) { s.Requests = 2 }), place(func(j *control.Request, p control.Decision) control.Decision {
			if j.ID == 2 && p.Action == control.Forward {
				return control.Decision{Action: control.Fail}
			}
			return p
		}), "served"},
		"held for ever": {world(func(s *Config) { s.CallFailures, s.FailureModes = 1, []string{"refused"} }), place(func(j *control.Request, p control.Decision) control.Decision {
			if p.Action == control.Reject {
				return control.Decision{Action: control.Hold, RecheckAt: j.Deadline + 1_000_000}
			}
			return p
		}), "answered"},
	} {
		ps, _ := SelectProperties([]string{c.want})
		x := Exploration{Config: c.setup, Rules: c.rules, Properties: ps}
		f, err := x.Run(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		if f.Trace == nil {
			t.Errorf("%s: not found in %d states", name, f.States)
			continue
		}
		t.Logf("%s: %d states, %.2f s, a story of %d steps: %s", name, f.States, f.Elapsed.Seconds(), len(f.Trace.Steps), f.Trace.Violation)
		if wrong, _, _ := f.Trace.Replay(&ProductionRules, Properties); wrong != "" {
			t.Errorf("%s: the real rules fail too: %s", name, wrong)
		}
	}
}

// late has a group remember executions from a time after they were sent.
type late struct{ *control.Balancer }

func (l late) Inner() *control.Balancer { return l.Balancer }

func (l late) Route(now control.Micros, j *control.Request) control.Decision {
	return l.forward(j, func() control.Decision { return l.Balancer.Route(now, j) })
}

func (l late) HandleOutcome(now control.Micros, j *control.Request, o control.Outcome) control.Decision {
	return l.forward(j, func() control.Decision { return l.Balancer.HandleOutcome(now, j, o) })
}

func (l late) forward(j *control.Request, f func() control.Decision) control.Decision {
	const by = 300_000
	n := len(j.Attempts)
	for i := range n {
		j.Attempts[i].SentAt += by
	}
	p := f()
	for i := range n {
		j.Attempts[i].SentAt -= by
	}
	return p
}

// Stories of mended finds are replayed for ever.
func TestStories(t *testing.T) {
	files, err := filepath.Glob("stories/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no stories: %v", err)
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
	s := world(func(s *Config) { s.Servers, s.CallFailures, s.Drains = 2, 1, 1 })
	explored := func(x Exploration) *Result {
		t.Helper()
		x.Config = s
		f, err := x.Run(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		return f
	}
	one, many := explored(Exploration{Workers: 1, MaxDepth: 12}), explored(Exploration{Workers: 7, MaxDepth: 12})
	dir := t.TempDir()
	explored(Exploration{Dir: dir, MaxDepth: 7})
	rest := explored(Exploration{Dir: dir, MaxDepth: 12, MaxInMemory: 10})
	for _, f := range []*Result{many, rest} {
		if f.States != one.States || f.Steps != one.Steps || f.Depth != one.Depth {
			t.Errorf("%+v, with one worker %+v", f.Progress, one.Progress)
		}
	}
	other := Exploration{Config: Minimal, Dir: dir}
	if _, err := other.Run(context.Background()); err == nil {
		t.Error("another world was resumed")
	}
}

// A breach whose way back to the start is not known, since what was saved lacks a part, is an error and not a clean result.
func TestBreachWithoutItsWayIsAnError(t *testing.T) {
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
	setup := world(func(s *Config) { s.ClientCancels = 1 })
	begun := Exploration{Config: setup, Dir: dir, MaxDepth: 1}
	if _, err := begun.Run(context.Background()); err != nil {
		t.Fatal(err)
	}
	name := filepath.Join(dir, resumeName)
	var kept saved
	b, err := os.ReadFile(name)
	if err == nil {
		err = cbor.Unmarshal(b, &kept)
	}
	if err != nil {
		t.Fatal(err)
	}
	kept.Keys, kept.From = nil, nil
	if b, err = cbor.Marshal(kept); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(name, b, 0o600); err != nil {
		t.Fatal(err)
	}
	rest := Exploration{Config: setup, Rules: &answersTwice, Dir: dir}
	if f, err := rest.Run(context.Background()); err == nil {
		t.Errorf("no error; complete %t, a story: %t", f.Complete, f.Trace != nil)
	}
}

// Walks by chance through larger worlds find nothing either, and what a walk finds is shortened to what it needs.
func TestWalks(t *testing.T) {
	large := world(func(s *Config) {
		s.Requests, s.Servers, s.Routers, s.Effects = 3, 3, 2, []string{"run-once", "fingerprinted", "restartable"}
		s.CallFailures, s.Drains, s.Restarts, s.ClientCancels, s.DelayedWrites, s.RouterStalls = 4, 1, 1, 1, 1, 1
	})
	rapid.Check(t, func(t *rapid.T) {
		story, _, err := RandomWalk(large, &ProductionRules, Properties, 60, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "step") })
		if err != nil {
			t.Fatal(err)
		}
		if story != nil {
			t.Fatalf("%s", story.Text(&ProductionRules))
		}
	})
	bad := ProductionRules
	bad.Withdraw = func(s attempt.Stage) (attempt.Stage, bool) { return s, false }
	for seed := uint64(0); seed < 2000; seed++ {
		story, _, err := RandomWalk(large, &bad, []Property{nothingAfter}, 120, RandomChoice(seed))
		if err != nil {
			t.Fatal(err)
		}
		if story != nil {
			if len(story.Steps) > 4 {
				t.Errorf("not shortened:\n%s", story.Text(&bad))
			}
			return
		}
	}
	t.Error("no walk found what was planted")
}
