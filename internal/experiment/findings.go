package experiment

import (
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// differences gives the first arm less another, seed by seed, as far as both were played without a gap: which days end first hangs on
// the machine, and findings must not.
func (s *Experiment) differences(size, arm string) (ds []float64) {
	for i := range s.plan.MaxSeeds {
		a, there := s.results[Trial{size, s.plan.Arms[0], s.plan.FirstSeed + uint64(i)}]
		b, too := s.results[Trial{size, arm, s.plan.FirstSeed + uint64(i)}]
		if !there || !too {
			break
		}
		ds = append(ds, a.value(s.plan.Measure)-b.value(s.plan.Measure))
	}
	return ds
}

// decide looks after each further seed whether a pair is told apart, or told to be alike.
func (s *Experiment) decide(size, arm string) {
	key := [2]string{size, arm}
	if _, decided := s.decidedAfter[key]; decided {
		return
	}
	ds := s.differences(size, arm)
	for n := max(2, s.plan.MinSeeds); n <= len(ds); n++ {
		if low, high := s.interval(size, arm, ds[:n]); s.verdict(low, high) != "" {
			s.decidedAfter[key] = n
			return
		}
	}
}

// verdict is empty while an interval tells nothing.
func (s *Experiment) verdict(low, high float64) string {
	switch i := s.plan.Tolerance; {
	case low > -i && high < i:
		return "alike"
	case low > 0:
		return "more"
	case high < 0:
		return "less"
	}
	return ""
}

// interval is the bootstrap's 95 % for the mean, by percentiles; its chance is drawn from the pair's name, so that it is the same each time.
func (s *Experiment) interval(size, arm string, ds []float64) (low, high float64) {
	const resamples = 2000 // the ends move by a few hundredths of the interval's width
	chance := rand.New(rand.NewPCG(xxhash.Sum64String(size), xxhash.Sum64String(arm)))
	means := make([]float64, resamples)
	for i := range means {
		for range ds {
			means[i] += ds[chance.IntN(len(ds))]
		}
		means[i] /= float64(len(ds))
	}
	slices.Sort(means)
	return means[len(means)*25/1000], means[len(means)*975/1000]
}

// Finding is what a pair of arms showed: the first arm less the other.
type Finding struct {
	Size, Arm       string
	Seeds           int
	Mean, Low, High float64
	Verdict         string // more, less, alike; empty: not told apart
	Violations      int    // breaches of rules by the other arm, on all its days
}

// Findings gives what is there so far. A pair that was decided rests on the days until then.
func (s *Experiment) Findings() (fs []Finding) {
	for _, size := range s.plan.Sizes {
		for _, arm := range s.plan.Arms[1:] {
			ds := s.differences(size, arm)
			if end, decided := s.decidedAfter[[2]string{size, arm}]; decided {
				ds = ds[:end]
			}
			f := Finding{Size: size, Arm: arm, Seeds: len(ds)}
			for _, d := range ds {
				f.Mean += d / float64(len(ds))
			}
			if len(ds) > 1 {
				f.Low, f.High = s.interval(size, arm, ds)
				f.Verdict = s.verdict(f.Low, f.High)
			}
			for c, r := range s.results {
				if c.Size == size && c.Arm == arm {
					f.Violations += r.Violations
				}
			}
			fs = append(fs, f)
		}
	}
	return fs
}

// Mean is one arm's figure over its days so far.
func (s *Experiment) Mean(size, arm string) (mean float64, days int) {
	for i := range s.plan.MaxSeeds {
		if r, played := s.results[Trial{size, arm, s.plan.FirstSeed + uint64(i)}]; played {
			mean, days = mean+r.value(s.plan.Measure), days+1
		}
	}
	return mean / float64(max(1, days)), days
}

// Broken counts an arm's breaches of rules, over all sizes.
func (s *Experiment) Violations(arm string) (n int) {
	for c, r := range s.results {
		if c.Arm == arm {
			n += r.Violations
		}
	}
	return n
}
