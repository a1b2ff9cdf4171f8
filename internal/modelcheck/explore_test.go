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

func world(change func(s *Setup)) Setup {
	s := Small
	s.Effects = slices.Clone(s.Effects)
	change(&s)
	return s
}

func run(t *testing.T, s Setup, rules *Rules) *Found {
	t.Helper()
	x := Exploration{Setup: s, Rules: rules}
	f, err := x.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// In whole small worlds nothing fails, and each time the same number of states is seen.
func TestSmallWorlds(t *testing.T) {
	for name, c := range map[string]struct {
		setup  Setup
		states int
	}{
		"nothing goes wrong":   {world(func(s *Setup) {}), 15},
		"run-once, two break":  {world(func(s *Setup) { s.Effects[0], s.Servers, s.Breaks = "run-once", 2, 2 }), 256},
		"drained in mid-retry": {world(func(s *Setup) { s.Effects[0], s.Servers, s.Breaks, s.Drains, s.Stalls = "fingerprinted", 2, 1, 1, 1 }), 5246},
		"groups by zone": {world(func(s *Setup) {
			s.Effects[0], s.Scope, s.Servers, s.Breaks, s.Restarts = "fingerprinted", "zone", 2, 2, 1
		}), 9771},
		"a client goes":    {world(func(s *Setup) { s.Effects[0], s.Leaves, s.Stalls, s.Breaks = "run-once", 1, 1, 1 }), 817},
		"a router freezes": {world(func(s *Setup) { s.Freezes, s.Drains, s.Servers, s.Breaks = 1, 1, 2, 1 }), 24194},
		"two jobs":         {world(func(s *Setup) { s.Jobs, s.Breaks, s.Leaves, s.Effects = 2, 1, 1, []string{"run-once", "restartable"} }), 9991},
		"orders":           {world(func(s *Setup) { s.Orders, s.Warm, s.Breaks, s.Leaves = true, false, 1, 1 }), 12196},
		"a cold server":    {world(func(s *Setup) { s.ColdServer, s.Warm, s.Jobs, s.Routers, s.Servers = true, false, 2, 2, 2 }), 517},
	} {
		f := run(t, c.setup, &Real)
		if f.Story != nil {
			t.Errorf("%s: %s", name, f.Story.Text(&Real))
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
		r := Real
		change(&r)
		return &r
	}
	place := func(f func(j *control.Request, p control.Decision) control.Decision) *Rules {
		return with(func(r *Rules) { r.Decide = func(m *control.Balancer) core.Policy { return inner{m, f} } })
	}
	once := world(func(s *Setup) { s.Effects[0], s.Servers, s.Breaks = "run-once", 2, 1 })
	marked := world(func(s *Setup) {
		s.Effects[0], s.Servers, s.Breaks, s.Window, s.Target, s.Limit = "fingerprinted", 2, 1, 100_000, 600_000, 900_000
	})
	for name, c := range map[string]struct {
		setup Setup
		rules *Rules
		want  string
	}{
		"double answer": {world(func(s *Setup) { s.Leaves = 1 }), with(func(r *Rules) {
			r.Give = func(a *attempt.FinalAnswer) bool { a.Given = true; return true }
			r.Ended = func(a *attempt.FinalAnswer, res control.Result) attempt.Delivery {
				a.InFlight--
				if res == control.Succeeded {
					return attempt.Deliver
				}
				return attempt.AskPolicy
			}
		}), "one-answer"},
		"forgotten call-off": {world(func(s *Setup) { s.Leaves, s.Stalls = 1, 1 }), with(func(r *Rules) {
			r.Withdraw = func(s attempt.Stage) (attempt.Stage, bool) { return s, false }
		}), "nothing-after"},
		"written when withdrawn": {world(func(s *Setup) { s.Leaves, s.Stalls = 1, 1 }), with(func(r *Rules) {
			r.Withdraw = func(s attempt.Stage) (attempt.Stage, bool) { return s, s == attempt.Chosen }
		}), "nothing-after"},
		"slot leak": {world(func(s *Setup) { s.Breaks, s.Servers = 1, 2 }), with(func(r *Rules) {
			r.Decide = func(m *control.Balancer) core.Policy { return leaky{m} }
		}), "nothing-left"},
		"a reset taken for a proof": {once, with(func(r *Rules) {
			r.Broken = func(bool, attempt.BreakReason) control.Result { return control.NotSent }
		}), "proved"},
		"wrong MayRun": {once, with(func(r *Rules) {
			r.Decide = func(m *control.Balancer) core.Policy { return careless{m} }
		}), "run-once"},
		"run-once pushed back": {once, place(func(j *control.Request, p control.Decision) control.Decision {
			if p.Action == control.Fail {
				p.Action = control.Reject
			}
			return p
		}), "harmless"},
		"old choices are written": {world(func(s *Setup) { s.Freezes, s.Drains, s.Servers, s.Limit, s.Target = 1, 1, 2, 1_500_000, 1_200_000 }), with(func(r *Rules) {
			r.Write = func(s attempt.Stage, _ bool, _, _ control.Micros) (attempt.Stage, bool) { return attempt.Writing, true }
		}), "drained"},
		"a list's age counted from the choice": {world(func(s *Setup) {
			s.Freezes, s.Drains, s.Servers, s.Jobs, s.Apart, s.Limit = 1, 1, 2, 2, 700_000, 600_000
		}), with(func(r *Rules) {
			r.CatchUp = func(_, _ control.Micros) bool { return false }
			r.Until = func(_, chosen, grace control.Micros) control.Micros { return attempt.WriteUntil(chosen, grace) }
		}), "drained"},
		"deaf to drains": {world(func(s *Setup) { s.Drains, s.Jobs, s.Apart, s.Limit = 1, 2, 600_000, 400_000 }), with(func(r *Rules) {
			r.Decide = func(m *control.Balancer) core.Policy { return deaf{m} }
		}), "drained"},
		"window from the wrong end": {marked, with(func(r *Rules) {
			r.Decide = func(m *control.Balancer) core.Policy { return late{m} }
		}), "in-window"},
		"killed without a reason": {world(func(s *Setup) { s.Jobs = 2 }), place(func(j *control.Request, p control.Decision) control.Decision {
			if j.ID == 2 && p.Action == control.Forward {
				return control.Decision{Action: control.Fail}
			}
			return p
		}), "served"},
		"held for ever": {world(func(s *Setup) { s.Breaks, s.Ways = 1, []string{"refused"} }), place(func(j *control.Request, p control.Decision) control.Decision {
			if p.Action == control.Reject {
				return control.Decision{Action: control.Hold, RecheckAt: j.Deadline + 1_000_000}
			}
			return p
		}), "answered"},
	} {
		ps, _ := Named([]string{c.want})
		x := Exploration{Setup: c.setup, Rules: c.rules, Properties: ps}
		f, err := x.Run(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		if f.Story == nil {
			t.Errorf("%s: not found in %d states", name, f.States)
			continue
		}
		t.Logf("%s: %d states, %.2f s, a story of %d steps: %s", name, f.States, f.Took.Seconds(), len(f.Story.Steps), f.Story.Wrong)
		if wrong, _, _ := f.Story.Replay(&Real, Properties); wrong != "" {
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
		s, err := ReadStory(b)
		if err != nil {
			t.Fatal(err)
		}
		if wrong, after, _ := s.Replay(&Real, Properties); wrong != "" {
			t.Errorf("%s fails after %d steps: %s", name, after, wrong)
		}
	}
}

// The same states are seen whatever the number of workers, with states spilled to files, and in two parts.
func TestWorkersSpillAndResume(t *testing.T) {
	s := world(func(s *Setup) { s.Servers, s.Breaks, s.Drains = 2, 1, 1 })
	explored := func(x Exploration) *Found {
		t.Helper()
		x.Setup = s
		f, err := x.Run(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		return f
	}
	one, many := explored(Exploration{Workers: 1, Depth: 12}), explored(Exploration{Workers: 7, Depth: 12})
	dir := t.TempDir()
	explored(Exploration{Folder: dir, Depth: 7})
	rest := explored(Exploration{Folder: dir, Depth: 12, Memory: 10})
	for _, f := range []*Found{many, rest} {
		if f.States != one.States || f.Steps != one.Steps || f.Depth != one.Depth {
			t.Errorf("%+v, with one worker %+v", f.Progress, one.Progress)
		}
	}
	other := Exploration{Setup: Small, Folder: dir}
	if _, err := other.Run(context.Background()); err == nil {
		t.Error("another world was resumed")
	}
}

// A breach whose way back to the start is not known, since what was saved lacks a part, is an error and not a clean result.
func TestBreachWithoutItsWayIsAnError(t *testing.T) {
	answersTwice := Real
	answersTwice.Give = func(a *attempt.FinalAnswer) bool { a.Given = true; return true }
	answersTwice.Ended = func(a *attempt.FinalAnswer, result control.Result) attempt.Delivery {
		a.InFlight--
		if result == control.Succeeded {
			return attempt.Deliver
		}
		return attempt.AskPolicy
	}
	dir := t.TempDir()
	setup := world(func(s *Setup) { s.Leaves = 1 })
	begun := Exploration{Setup: setup, Folder: dir, Depth: 1}
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
	rest := Exploration{Setup: setup, Rules: &answersTwice, Folder: dir}
	if f, err := rest.Run(context.Background()); err == nil {
		t.Errorf("no error; complete %t, a story: %t", f.Complete, f.Story != nil)
	}
}

// Walks by chance through larger worlds find nothing either, and what a walk finds is shortened to what it needs.
func TestWalks(t *testing.T) {
	large := world(func(s *Setup) {
		s.Jobs, s.Servers, s.Routers, s.Effects = 3, 3, 2, []string{"run-once", "fingerprinted", "restartable"}
		s.Breaks, s.Drains, s.Restarts, s.Leaves, s.Stalls, s.Freezes = 4, 1, 1, 1, 1, 1
	})
	rapid.Check(t, func(t *rapid.T) {
		story, _, err := Walk(large, &Real, Properties, 60, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "step") })
		if err != nil {
			t.Fatal(err)
		}
		if story != nil {
			t.Fatalf("%s", story.Text(&Real))
		}
	})
	bad := Real
	bad.Withdraw = func(s attempt.Stage) (attempt.Stage, bool) { return s, false }
	for seed := uint64(0); seed < 2000; seed++ {
		story, _, err := Walk(large, &bad, []Property{nothingAfter}, 120, Chance(seed))
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
