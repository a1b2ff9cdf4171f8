package modelcheck

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"hollymast/control"
	"hollymast/internal/attempt"
)

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
	rest := runExploration(Exploration{Dir: dir, MaxDepth: 12, MaxStatesInMemory: 10})
	for _, f := range []*Result{many, rest} {
		if f.States != one.States || f.Steps != one.Steps || f.Depth != one.Depth {
			t.Errorf("%+v, with one worker %+v", f.Progress, one.Progress)
		}
	}
	other := Exploration{Config: MinimalConfig, Dir: dir}
	if _, err := other.Run(context.Background()); err == nil {
		t.Error("an exploration of another world was resumed")
	}
}

// A violation whose way back to the beginning is not known, since what was saved lacks a part, is an error and not a clean result.
func TestViolationWithoutOriginIsAnError(t *testing.T) {
	answersTwice := ProductionRules
	answersTwice.DecideResponse = func(a *attempt.FinalResponse) bool { a.Decided = true; return true }
	answersTwice.AttemptEnded = func(a *attempt.FinalResponse, result control.Result) attempt.Delivery {
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
