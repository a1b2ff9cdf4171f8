package experiment

import (
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Verdict says how the first arm compares with another one. Its text is part of what programs print.
type Verdict string

// The verdicts. Arms are equivalent if the confidence interval of their difference is within the plan's tolerance.
const (
	Undecided   Verdict = ""
	Equivalent  Verdict = "alike"
	FirstHigher Verdict = "more"
	FirstLower  Verdict = "less"
)

// interval is a confidence interval.
type interval struct{ low, high float64 }

// differences returns the first arm's value minus the other arm's, by seed. It stops at the first seed without both
// results, since findings must not depend on which trials happen to end first.
func (e *Experiment) differences(c comparison) (all []float64) {
	for i := range e.plan.MaxSeeds {
		first, done := e.results[e.trialFor(c.size, e.plan.Arms[0], i)]
		other, otherDone := e.results[e.trialFor(c.size, c.arm, i)]
		if !done || !otherDone {
			break
		}
		all = append(all, first.value(e.plan.Measure)-other.value(e.plan.Measure))
	}
	return all
}

// tryDecide decides a comparison after the first seed that allows it.
func (e *Experiment) tryDecide(c comparison) {
	if _, decided := e.decidedAfter[c]; decided {
		return
	}
	differences := e.differences(c)
	for n := max(2, e.plan.MinSeeds); n <= len(differences); n++ {
		if e.verdict(bootstrap(c, differences[:n])) != Undecided {
			e.decidedAfter[c] = n
			return
		}
	}
}

// verdict returns the verdict for a confidence interval of the difference.
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

// resamples is the number of bootstrap samples: with 2000, the ends of an interval vary by a few hundredths of its width.
const resamples = 2000

// bootstrap returns the 95 % percentile bootstrap interval of the mean. The random source is seeded from the size and the
// arm alone, so that the interval is reproducible.
func bootstrap(c comparison, differences []float64) interval {
	random := rand.New(rand.NewPCG(xxhash.Sum64String(c.size), xxhash.Sum64String(c.arm)))
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

// Finding is the result of a comparison: the first arm's value minus the other arm's.
type Finding struct {
	Size, Arm      string
	SeedCount      int
	MeanDifference float64
	Low, High      float64 // the 95 % confidence interval of MeanDifference
	Verdict        Verdict
	Violations     int // of invariants by the other arm, in all of its trials
}

// Findings returns the finding of each comparison. That of a decided comparison uses only the seeds up to the decision.
func (e *Experiment) Findings() []Finding {
	var findings []Finding
	for _, size := range e.plan.Sizes {
		for _, arm := range e.plan.Arms[1:] {
			findings = append(findings, e.finding(comparison{size, arm}))
		}
	}
	return findings
}

// finding evaluates one comparison.
func (e *Experiment) finding(c comparison) Finding {
	differences := e.differences(c)
	if end, decided := e.decidedAfter[c]; decided {
		differences = differences[:end]
	}
	f := Finding{Size: c.size, Arm: c.arm, SeedCount: len(differences)}
	for _, d := range differences {
		f.MeanDifference += d / float64(len(differences))
	}
	if len(differences) > 1 {
		i := bootstrap(c, differences)
		f.Low, f.High, f.Verdict = i.low, i.high, e.verdict(i)
	}
	for t, r := range e.results {
		if t.Size == c.size && t.Arm == c.arm {
			f.Violations += r.Violations
		}
	}
	return f
}

// Mean returns the mean value of an arm's trials so far, and their number.
func (e *Experiment) Mean(size, arm string) (mean float64, trials int) {
	for i := range e.plan.MaxSeeds {
		if r, done := e.results[e.trialFor(size, arm, i)]; done {
			mean, trials = mean+r.value(e.plan.Measure), trials+1
		}
	}
	return mean / float64(max(1, trials)), trials
}

// Violations returns the number of an arm's violations of invariants, over all sizes.
func (e *Experiment) Violations(arm string) (n int) {
	for t, r := range e.results {
		if t.Arm == arm {
			n += r.Violations
		}
	}
	return n
}
