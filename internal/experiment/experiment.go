// Package experiment decides which days of an experiment are still to be played, and what the played ones show: paired differences
// between arms on the same calls and troubles, with intervals, and an end once they tell enough. It is free of I/O; Store keeps rows.
package experiment

import (
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Cell is one day to be played: a size of the day, whose decisions, and the seed that calls and troubles are drawn from.
type Trial struct {
	Size string `cbor:"Size"`
	Arm  string `cbor:"Arm"`
	Seed uint64 `cbor:"Seed"`
}

// Row is what a played day showed.
type Result struct {
	Trial
	InTime         float64 `cbor:"InTime"` // share of effects within their start target
	WeightedInTime float64 `cbor:"Worth"`  // the same, weighted with importance
	Requests       int     `cbor:"Jobs"`
	Attempts       int     `cbor:"Executions"`
	Loads          int     `cbor:"Loads"`
	Violations     int     `cbor:"Broken"` // breaches of rules
	Hash           uint64  `cbor:"Hash"`
}

// Measures are what arms can be held against each other by.
var Measures = []string{"in_time", "worth", "executions", "loads"}

// of gives a row's figure.
func (r Result) value(measure string) float64 {
	switch measure {
	case "worth":
		return r.WeightedInTime
	case "executions":
		return float64(r.Attempts) / float64(max(1, r.Requests))
	case "loads":
		return float64(r.Loads)
	}
	return r.InTime
}

// Plan is what is asked.
type Plan struct {
	Sizes, Arms        []string // each other arm is held against the first
	FirstSeed          uint64   // seed
	MaxSeeds, MinSeeds int      // seeds
	Tolerance          float64  // a difference within this is none: the interval may end there too
	Measure            string
}

// State is an experiment under way.
type Experiment struct {
	plan         Plan
	results      map[Trial]Result
	started      map[Trial]bool
	decidedAfter map[[2]string]int // seeds after which a pair was decided, by size and arm
}

// New begins an experiment with the rows that are there already.
func New(p Plan, rows []Result) *Experiment {
	s := &Experiment{plan: p, results: map[Trial]Result{}, started: map[Trial]bool{}, decidedAfter: map[[2]string]int{}}
	for _, r := range rows {
		s.results[r.Trial] = r
	}
	for _, size := range p.Sizes {
		for _, arm := range p.Arms[1:] {
			s.decide(size, arm)
		}
	}
	return s
}

// Next gives a day to play; false: none is left that could change a finding. Days are given seed by seed, so that what is there at any
// time is as complete as can be.
func (s *Experiment) Next() (Trial, bool) {
	for i := range s.plan.MaxSeeds {
		for _, size := range s.plan.Sizes {
			for n, arm := range s.plan.Arms {
				c := Trial{size, arm, s.plan.FirstSeed + uint64(i)}
				if _, played := s.results[c]; played || s.started[c] || !s.needed(size, n, i) {
					continue
				}
				s.started[c] = true
				return c, true
			}
		}
	}
	return Trial{}, false
}

// wanted tells whether a seed's day of an arm can still change a finding; the first arm's can while any other's can.
func (s *Experiment) needed(size string, arm, seed int) bool {
	open := func(arm string) bool {
		end, decided := s.decidedAfter[[2]string{size, arm}]
		return !decided || seed < end
	}
	if arm > 0 {
		return open(s.plan.Arms[arm])
	}
	return len(s.plan.Arms) == 1 || slices.ContainsFunc(s.plan.Arms[1:], open)
}

// Left counts the days that would still be played if nothing more were decided.
func (s *Experiment) Remaining() (n int) {
	for i := range s.plan.MaxSeeds {
		for _, size := range s.plan.Sizes {
			for arm, name := range s.plan.Arms {
				if _, played := s.results[Trial{size, name, s.plan.FirstSeed + uint64(i)}]; !played && s.needed(size, arm, i) {
					n++
				}
			}
		}
	}
	return n
}

// Add takes in a played day.
func (s *Experiment) Add(r Result) {
	s.results[r.Trial] = r
	for _, arm := range s.plan.Arms[1:] {
		if r.Arm == arm || r.Arm == s.plan.Arms[0] {
			s.decide(r.Size, arm)
		}
	}
}

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
