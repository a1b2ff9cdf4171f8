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

// An exploration visits the same states with any number of workers, with states spilled to files, and when it is
// interrupted and resumed.
func TestWorkersSpillAndResume(t *testing.T) {
	config := newConfig(func(c *Config) { c.Servers, c.CallFailures, c.Drains = 2, 1, 1 })
	runExploration := func(x Exploration) *Result {
		t.Helper()
		x.Config = config
		result, err := x.Run(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		return result
	}
	one, many := runExploration(Exploration{Workers: 1, MaxDepth: 12}), runExploration(Exploration{Workers: 7, MaxDepth: 12})
	dir := t.TempDir()
	runExploration(Exploration{Dir: dir, MaxDepth: 7})
	rest := runExploration(Exploration{Dir: dir, MaxDepth: 12, MaxStatesInMemory: 10})
	for _, result := range []*Result{many, rest} {
		if result.States != one.States || result.Steps != one.Steps || result.Depth != one.Depth {
			t.Errorf("%+v, with one worker %+v", result.Progress, one.Progress)
		}
	}
	other := Exploration{Config: MinimalConfig, Dir: dir}
	if _, err := other.Run(context.Background()); err == nil {
		t.Error("an exploration with another configuration was resumed")
	}
}

// If the saved data is incomplete, so that the trace to a violation cannot be reconstructed, the exploration returns an
// error instead of a result without a violation.
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
	name := filepath.Join(dir, resumeFileName)
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
	if result, err := rest.Run(context.Background()); err == nil {
		t.Errorf("no error; complete %t, trace found %t", result.Complete, result.Trace != nil)
	}
}
