// Package experiment decides which days of an experiment are still to be played, and what the played ones show: paired differences
// between arms on the same calls and troubles, with intervals, and an end once they tell enough. It is free of I/O; Store keeps rows.
package experiment

import (
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Cell is one day to be played: a size of the day, whose decisions, and the seed that calls and troubles are drawn from.
type Cell struct {
	Size string `cbor:"Size"`
	Arm  string `cbor:"Arm"`
	Seed uint64 `cbor:"Seed"`
}

// Row is what a played day showed.
type Row struct {
	Cell
	InTime     float64 `cbor:"InTime"` // share of effects within their start target
	Worth      float64 `cbor:"Worth"`  // the same, weighted with importance
	Jobs       int     `cbor:"Jobs"`
	Executions int     `cbor:"Executions"`
	Loads      int     `cbor:"Loads"`
	Broken     int     `cbor:"Broken"` // breaches of rules
	Hash       uint64  `cbor:"Hash"`
}

// Measures are what arms can be held against each other by.
var Measures = []string{"in_time", "worth", "executions", "loads"}

// of gives a row's figure.
func (r Row) of(measure string) float64 {
	switch measure {
	case "worth":
		return r.Worth
	case "executions":
		return float64(r.Executions) / float64(max(1, r.Jobs))
	case "loads":
		return float64(r.Loads)
	}
	return r.InTime
}

// Plan is what is asked.
type Plan struct {
	Sizes, Arms []string // each other arm is held against the first
	First       uint64   // seed
	Most, Least int      // seeds
	Indifferent float64  // a difference within this is none: the interval may end there too
	Measure     string
}

// State is an experiment under way.
type State struct {
	plan   Plan
	rows   map[Cell]Row
	handed map[Cell]bool
	ends   map[[2]string]int // seeds after which a pair was decided, by size and arm
}

// New begins an experiment with the rows that are there already.
func New(p Plan, rows []Row) *State {
	s := &State{plan: p, rows: map[Cell]Row{}, handed: map[Cell]bool{}, ends: map[[2]string]int{}}
	for _, r := range rows {
		s.rows[r.Cell] = r
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
func (s *State) Next() (Cell, bool) {
	for i := range s.plan.Most {
		for _, size := range s.plan.Sizes {
			for n, arm := range s.plan.Arms {
				c := Cell{size, arm, s.plan.First + uint64(i)}
				if _, played := s.rows[c]; played || s.handed[c] || !s.wanted(size, n, i) {
					continue
				}
				s.handed[c] = true
				return c, true
			}
		}
	}
	return Cell{}, false
}

// wanted tells whether a seed's day of an arm can still change a finding; the first arm's can while any other's can.
func (s *State) wanted(size string, arm, seed int) bool {
	open := func(arm string) bool {
		end, decided := s.ends[[2]string{size, arm}]
		return !decided || seed < end
	}
	if arm > 0 {
		return open(s.plan.Arms[arm])
	}
	return len(s.plan.Arms) == 1 || slices.ContainsFunc(s.plan.Arms[1:], open)
}

// Left counts the days that would still be played if nothing more were decided.
func (s *State) Left() (n int) {
	for i := range s.plan.Most {
		for _, size := range s.plan.Sizes {
			for arm, name := range s.plan.Arms {
				if _, played := s.rows[Cell{size, name, s.plan.First + uint64(i)}]; !played && s.wanted(size, arm, i) {
					n++
				}
			}
		}
	}
	return n
}

// Add takes in a played day.
func (s *State) Add(r Row) {
	s.rows[r.Cell] = r
	for _, arm := range s.plan.Arms[1:] {
		if r.Arm == arm || r.Arm == s.plan.Arms[0] {
			s.decide(r.Size, arm)
		}
	}
}

// differences gives the first arm less another, seed by seed, as far as both were played without a gap: which days end first hangs on
// the machine, and findings must not.
func (s *State) differences(size, arm string) (ds []float64) {
	for i := range s.plan.Most {
		a, there := s.rows[Cell{size, s.plan.Arms[0], s.plan.First + uint64(i)}]
		b, too := s.rows[Cell{size, arm, s.plan.First + uint64(i)}]
		if !there || !too {
			break
		}
		ds = append(ds, a.of(s.plan.Measure)-b.of(s.plan.Measure))
	}
	return ds
}

// decide looks after each further seed whether a pair is told apart, or told to be alike.
func (s *State) decide(size, arm string) {
	key := [2]string{size, arm}
	if _, decided := s.ends[key]; decided {
		return
	}
	ds := s.differences(size, arm)
	for n := max(2, s.plan.Least); n <= len(ds); n++ {
		if low, high := s.interval(size, arm, ds[:n]); s.verdict(low, high) != "" {
			s.ends[key] = n
			return
		}
	}
}

// verdict is empty while an interval tells nothing.
func (s *State) verdict(low, high float64) string {
	switch i := s.plan.Indifferent; {
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
func (s *State) interval(size, arm string, ds []float64) (low, high float64) {
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
	Broken          int    // breaches of rules by the other arm, on all its days
}

// Findings gives what is there so far. A pair that was decided rests on the days until then.
func (s *State) Findings() (fs []Finding) {
	for _, size := range s.plan.Sizes {
		for _, arm := range s.plan.Arms[1:] {
			ds := s.differences(size, arm)
			if end, decided := s.ends[[2]string{size, arm}]; decided {
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
			for c, r := range s.rows {
				if c.Size == size && c.Arm == arm {
					f.Broken += r.Broken
				}
			}
			fs = append(fs, f)
		}
	}
	return fs
}

// Mean is one arm's figure over its days so far.
func (s *State) Mean(size, arm string) (mean float64, days int) {
	for i := range s.plan.Most {
		if r, played := s.rows[Cell{size, arm, s.plan.First + uint64(i)}]; played {
			mean, days = mean+r.of(s.plan.Measure), days+1
		}
	}
	return mean / float64(max(1, days)), days
}

// Broken counts an arm's breaches of rules, over all sizes.
func (s *State) Broken(arm string) (n int) {
	for c, r := range s.rows {
		if c.Arm == arm {
			n += r.Broken
		}
	}
	return n
}
