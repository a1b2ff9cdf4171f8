package experiment

import (
	"math/rand/v2"
	"path/filepath"
	"testing"
)

// run runs an experiment in which the other arms are worse by so much on average. Trials of one seed share some noise, and each
// has some of its own. It also returns the number of trials.
func run(p Plan, worseBy map[string]float64, noise float64) (*Experiment, int) {
	s, n := New(p, nil), 0
	for c, ok := s.NextTrial(); ok; c, ok = s.NextTrial() {
		shared := rand.New(rand.NewPCG(c.Seed, 1)).NormFloat64() * 0.1
		own := rand.New(rand.NewPCG(c.Seed, uint64(len(c.Arm)))).NormFloat64() * noise
		s.AddResult(Result{Trial: c, InTime: 0.8 + shared + own - worseBy[c.Arm]})
		n++
	}
	return s, n
}

// A difference far smaller than the noise that trials share is found early, and so is that there is none; other pairs need all seeds.
func TestPairedDifferences(t *testing.T) {
	p := Plan{Sizes: []string{"s"}, Arms: []string{"base", "worse", "alike!", "unclear?"}, FirstSeed: 1, MaxSeeds: 40, MinSeeds: 5, Tolerance: 0.005}
	s, n := run(p, map[string]float64{"worse": 0.03, "unclear?": 0.004}, 0.01)
	fs := s.Findings()
	if fs[0].Verdict != "more" || fs[0].SeedCount > 10 || fs[0].Low > 0.03 || fs[0].High < 0.03 {
		t.Errorf("worse: %+v", fs[0])
	}
	if fs[1].Verdict != "alike" || fs[1].Low > 0 || fs[1].High < 0 {
		t.Errorf("alike: %+v", fs[1])
	}
	if n >= 4*40 || s.Remaining() > 0 {
		t.Errorf("%d trials were run, %d remain", n, s.Remaining())
	}
}

// The order in which trials end changes no finding, and an experiment that begins with results runs only what is missing.
func TestOrderAndResumption(t *testing.T) {
	p := Plan{Sizes: []string{"s", "t"}, Arms: []string{"base", "worse"}, FirstSeed: 7, MaxSeeds: 12, MinSeeds: 3, Tolerance: 0.001}
	in, n := run(p, map[string]float64{"worse": 0.02}, 0.01)
	var rows []Result
	for _, r := range in.results {
		rows = append(rows, r)
	}
	again := New(p, nil)
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(rows), func(i, j int) { rows[i], rows[j] = rows[j], rows[i] })
	for _, r := range rows {
		again.AddResult(r)
	}
	for i, f := range again.Findings() {
		if f != in.Findings()[i] {
			t.Errorf("%+v, then %+v", in.Findings()[i], f)
		}
	}
	half := New(p, rows[:n/2])
	left := 0
	for c, ok := half.NextTrial(); ok; c, ok = half.NextTrial() {
		half.AddResult(in.results[c])
		left++
	}
	if left > n-n/2 {
		t.Errorf("%d of %d trials were run again", left-(n-n/2), n)
	}
}

func TestStoreKeepsResultsByOrigin(t *testing.T) {
	path := filepath.Join(t.TempDir(), "rows")
	s, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	r := Result{Trial: Trial{"s", "a", 3}, InTime: 0.5, Hash: 1 << 63}
	if err := s.Put("one", r); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(path); err == nil {
		t.Error("opened twice")
	}
	s.Close()
	if s, err = Open(path); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if got, ok := s.Get("one", r.Trial); !ok || got != r {
		t.Errorf("%+v, %t", got, ok)
	}
	for _, other := range []Trial{{"s", "a", 4}, {"s", "b", 3}} {
		if _, ok := s.Get("one", other); ok {
			t.Errorf("%+v is there", other)
		}
	}
	if _, ok := s.Get("two", r.Trial); ok {
		t.Error("another build's result is taken for this one's")
	}
}
