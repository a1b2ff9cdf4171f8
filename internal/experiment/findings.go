package experiment

import (
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Verdict is how the first arm compares with another one.
type Verdict string

// The verdicts. A pair is alike if the interval of its difference is within the plan's tolerance.
const (
	Undecided   Verdict = ""
	Equivalent  Verdict = "alike"
	FirstHigher Verdict = "more"
	FirstLower  Verdict = "less"
)

// interval is a confidence interval.
type interval struct{ low, high float64 }

// differences gives the first arm less the other one, seed by seed up to the first gap: which trials end first depends on the
// machine, and findings must not.
func (e *Experiment) differences(p pair) (all []float64) {
	for i := range e.plan.MaxSeeds {
		first, done := e.results[e.trial(p.size, e.plan.Arms[0], i)]
		other, otherDone := e.results[e.trial(p.size, p.arm, i)]
		if !done || !otherDone {
			break
		}
		all = append(all, first.value(e.plan.Measure)-other.value(e.plan.Measure))
	}
	return all
}

// decide decides a pair after the first seed that allows it.
func (e *Experiment) decide(p pair) {
	if _, decided := e.decidedAfter[p]; decided {
		return
	}
	differences := e.differences(p)
	for n := max(2, e.plan.MinSeeds); n <= len(differences); n++ {
		if e.verdict(bootstrap(p, differences[:n])) != Undecided {
			e.decidedAfter[p] = n
			return
		}
	}
}

func (e *Experiment) verdict(i interval) Verdict {
	switch tolerance := e.plan.Tolerance; {
	case i.low > -tolerance && i.high < tolerance:
		return Equivalent
	case i.low > 0:
		return FirstHigher
	case i.high < 0:
		return FirstLower
	}
	return Undecided
}

// resamples is the number of the bootstrap's samples: with so many, the ends of an interval vary by a few hundredths of its width.
const resamples = 2000

// bootstrap gives the 95 % interval of the mean, by percentiles. Its random numbers depend on the pair's name only, so that the
// interval is the same each time.
func bootstrap(p pair, differences []float64) interval {
	random := rand.New(rand.NewPCG(xxhash.Sum64String(p.size), xxhash.Sum64String(p.arm)))
	means := make([]float64, resamples)
	for i := range means {
		for range differences {
			means[i] += differences[random.IntN(len(differences))]
		}
		means[i] /= float64(len(differences))
	}
	slices.Sort(means)
	return interval{means[resamples*25/1000], means[resamples*975/1000]}
}

// Finding is what a pair of arms showed: the first arm less the other one.
type Finding struct {
	Size, Arm      string
	SeedCount      int
	MeanDifference float64
	Low, High      float64 // the 95 % interval of the mean
	Verdict        Verdict
	Violations     int // of invariants by the other arm, in all its trials
}

// Findings gives a finding on each pair. One that was decided rests on the seeds up to then.
func (e *Experiment) Findings() []Finding {
	var findings []Finding
	for _, size := range e.plan.Sizes {
		for _, arm := range e.plan.Arms[1:] {
			findings = append(findings, e.finding(pair{size, arm}))
		}
	}
	return findings
}

func (e *Experiment) finding(p pair) Finding {
	differences := e.differences(p)
	if end, decided := e.decidedAfter[p]; decided {
		differences = differences[:end]
	}
	f := Finding{Size: p.size, Arm: p.arm, SeedCount: len(differences)}
	for _, d := range differences {
		f.MeanDifference += d / float64(len(differences))
	}
	if len(differences) > 1 {
		i := bootstrap(p, differences)
		f.Low, f.High, f.Verdict = i.low, i.high, e.verdict(i)
	}
	for t, r := range e.results {
		if t.Size == p.size && t.Arm == p.arm {
			f.Violations += r.Violations
		}
	}
	return f
}

// Mean gives an arm's mean over its trials so far, and their number.
func (e *Experiment) Mean(size, arm string) (mean float64, trials int) {
	for i := range e.plan.MaxSeeds {
		if r, done := e.results[e.trial(size, arm, i)]; done {
			mean, trials = mean+r.value(e.plan.Measure), trials+1
		}
	}
	return mean / float64(max(1, trials)), trials
}

// Violations counts an arm's violations of invariants, over all sizes.
func (e *Experiment) Violations(arm string) (n int) {
	for t, r := range e.results {
		if t.Arm == arm {
			n += r.Violations
		}
	}
	return n
}
