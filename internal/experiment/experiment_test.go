package experiment

import (
	"math/rand/v2"
	"path/filepath"
	"testing"
)

// runExperiment runs an experiment in which each arm's mean is lower by worseBy. The trials of a seed share noise with a
// standard deviation of 0.1; each trial also has its own noise. It also returns the number of trials.
func runExperiment(p Plan, worseBy map[string]float64, noise float64) (*Experiment, int) {
	e, n := New(p, nil), 0
	for trial, ok := e.NextTrial(); ok; trial, ok = e.NextTrial() {
		shared := rand.New(rand.NewPCG(trial.Seed, 1)).NormFloat64() * 0.1
		own := rand.New(rand.NewPCG(trial.Seed, uint64(len(trial.Arm)))).NormFloat64() * noise
		e.AddResult(Result{Trial: trial, InTime: 0.8 + shared + own - worseBy[trial.Arm]})
		n++
	}
	return e, n
}

// Pairing cancels the noise that trials share: a much smaller difference is found early, and so is the absence of a
// difference. Comparisons that stay undecided need all seeds.
func TestPairedDifferences(t *testing.T) {
	p := Plan{Sizes: []string{"s"}, Arms: []string{"base", "worse", "alike!", "unclear?"}, FirstSeed: 1, MaxSeeds: 40, MinSeeds: 5, Tolerance: 0.005}
	e, n := runExperiment(p, map[string]float64{"worse": 0.03, "unclear?": 0.004}, 0.01)
	findings := e.Findings()
	if findings[0].Verdict != "more" || findings[0].SeedCount > 10 || findings[0].Low > 0.03 || findings[0].High < 0.03 {
		t.Errorf("worse: %+v", findings[0])
	}
	if findings[1].Verdict != "alike" || findings[1].Low > 0 || findings[1].High < 0 {
		t.Errorf("alike: %+v", findings[1])
	}
	if n >= 4*40 || e.Remaining() > 0 {
		t.Errorf("%d trials were run, %d remain", n, e.Remaining())
	}
}

// Findings do not depend on the order in which trials end, and an experiment that starts with results runs only the
// missing trials.
func TestOrderAndResumption(t *testing.T) {
	p := Plan{Sizes: []string{"s", "t"}, Arms: []string{"base", "worse"}, FirstSeed: 7, MaxSeeds: 12, MinSeeds: 3, Tolerance: 0.001}
	original, n := runExperiment(p, map[string]float64{"worse": 0.02}, 0.01)
	var results []Result
	for _, r := range original.results {
		results = append(results, r)
	}
	reordered := New(p, nil)
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(results), func(i, j int) { results[i], results[j] = results[j], results[i] })
	for _, r := range results {
		reordered.AddResult(r)
	}
	for i, f := range reordered.Findings() {
		if f != original.Findings()[i] {
			t.Errorf("finding %+v, in another order %+v", original.Findings()[i], f)
		}
	}
	half := New(p, results[:n/2])
	remaining := 0
	for trial, ok := half.NextTrial(); ok; trial, ok = half.NextTrial() {
		half.AddResult(original.results[trial])
		remaining++
	}
	if remaining > n-n/2 {
		t.Errorf("%d of %d trials were run again", remaining-(n-n/2), n)
	}
}

func TestStoreKeepsResultsByOrigin(t *testing.T) {
	path := filepath.Join(t.TempDir(), "rows")
	store, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	r := Result{Trial: Trial{"s", "a", 3}, InTime: 0.5, Hash: 1 << 63}
	if err := store.Put("one", r); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(path); err == nil {
		t.Error("the store was opened while it was open already")
	}
	store.Close()
	if store, err = Open(path); err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	if got, ok := store.Get("one", r.Trial); !ok || got != r {
		t.Errorf("got %+v, found %t", got, ok)
	}
	for _, other := range []Trial{{"s", "a", 4}, {"s", "b", 3}} {
		if _, ok := store.Get("one", other); ok {
			t.Errorf("got a result for %+v, which was not stored", other)
		}
	}
	if _, ok := store.Get("two", r.Trial); ok {
		t.Error("got the result of another origin")
	}
}
