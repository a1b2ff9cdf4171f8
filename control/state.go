package control

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
)

// Router is the state of one router.
type Router struct {
	told      Deployment
	chance    pcg
	started   Micros
	servers   []*server // by ascending id
	functions map[FunctionID]*function
	order     []*function // as first seen
	waiting   []*function // for which jobs were held since the last check
	execs     []samples   // by workload
	patience  []samples   // by workload
	due       []Micros    // by tenant: until when its jobs have used up its share
	latencies samples     // of answers from loaded copies, all servers
	loads     samples     // how long loads took
	strain    samples     // queueing on all servers, as a server's
	orders    []Micros    // orders to load within the ration's window
	taken     []Micros    // jobs taken within it
	recalls   []Recall
	choices   []choice // room for the choice in hand
	notes     []string
	answers   []Micros // recent ones, of all servers
	rate      float64  // see pool
	fresh     Micros
	recent    []*function // of the last jobs taken
	tidied    int         // functions looked at by tidy, in their order
	watching  bool
	index     index
	trace     *Trace // nil but for tools
}

// server is what a router believes of one server.
type server struct {
	Listing
	listed     bool
	left       Micros      // when it was last on the list, if it is not there
	weight     float64     // as the index has it: 0 where it is not ready
	doubted    bool        // is in the index's doubted
	there      bool        // as the index has it: not gone
	holds      []*function // of whose copies there something is known, by id
	heard      Micros      // last sign that it works
	flights    []flight
	sent       []Micros // recent sends, while it is cold
	report     Report
	reported   Micros
	avoidUntil Micros  // after a refusal
	loadsAfter Micros  // after a refused load
	size       float64 // of its window: how many executions of ours it bears at once, see fit
	busy       int     // those that run there, not those that wait for a load
	narrowed   Micros
	strain     samples // queueing there, in thousandths of the job's slack
	suspect    bool
	trialAt    Micros // when a suspect gets its next job
	setbacks   int    // times that it was found sick in a row
	fulls      int    // refusals and errors since it last finished a job
	breaks     int    // broken connections since then
}

// choice is a server that may take a load, with its place in a function's order: lowest key first.
type choice struct {
	s           *server
	key, weight float64
}

// flight is one execution that is out.
type flight struct {
	job  *Job
	no   ExecutionID
	sent Micros
	warm bool
}

// function is what a router knows of one function.
type function struct {
	id        FunctionID
	lanes     int
	last      *Job        // the latest one asked about
	due       int         // loads that the last check found needed
	instances []*instance // by ascending server id
	execs     samples
	delays    samples // holding here plus queueing there
	turned    samples // jobs pushed back for want of slack
	held      int
	waits     bool   // is in waiting
	recent    int    // of the last jobs taken, those for it
	heldFrom  Micros // since when some job has been held
	blocked   Micros // when a job for it last found no place
	ranking   ranking
}

// instance is a function's copies on one server, as believed.
type instance struct {
	server  *server
	copies  int
	used    Micros // last evidence that they were used
	loading int
	since   Micros // when the load began
	out     int    // our executions there
}

func (r *Router) find(id ServerID) (int, bool) {
	return slices.BinarySearchFunc(r.servers, id,
		func(s *server, id ServerID) int { return cmp.Compare(s.Server, id) })
}

func (f *function) at(s *server, add bool) *instance {
	i, ok := slices.BinarySearchFunc(f.instances, s.Server,
		func(in *instance, id ServerID) int { return cmp.Compare(in.server.Server, id) })
	if !ok {
		if !add {
			return nil
		}
		f.instances = slices.Insert(f.instances, i, &instance{server: s})
		s.hold(f)
	}
	return f.instances[i]
}

// room is the share of a server's window that is free.
func (s *server) room() float64 {
	if s.size == 0 {
		return 1
	}
	return max(0, 1-float64(s.busy)/s.size)
}

// waiting counts the functions for which our executions on a server began a load or wait for one.
func (s *server) waiting() int {
	n := 0
	for i, fl := range s.flights {
		same := func(other flight) bool { return !other.warm && other.job.Function == fl.job.Function }
		if !fl.warm && !slices.ContainsFunc(s.flights[:i], same) {
			n++
		}
	}
	return n
}

func (r *Router) note(format string, args ...any) {
	r.notes = append(r.notes, fmt.Sprintf(format, args...))
}

func (r *Router) function(j *Job) *function {
	f := r.functions[j.Function]
	if f == nil {
		f = &function{id: j.Function}
		r.functions[j.Function] = f
		r.order = append(r.order, f)
	}
	f.lanes, f.last = max(1, j.Lanes), j
	return f
}

// target is a job's start target, which may grow with its execution time.
func (r *Router) target(j *Job, exec Micros) Micros {
	w := r.told.Workloads[j.Workload]
	return w.StartTarget + Micros(w.Stretch*float64(exec))
}

// samples keeps the last few measurements and when they were taken.
type samples struct {
	v, at [16]Micros
	n     int
}

func (s *samples) add(now, v Micros) {
	i := s.n % len(s.v)
	s.v[i], s.at[i] = v, now
	s.n++
}

// since lists the measurements taken after t, smallest first.
func (s *samples) since(t Micros) []Micros {
	var vs []Micros
	for i := range min(s.n, len(s.v)) {
		if s.at[i] >= t {
			vs = append(vs, s.v[i])
		}
	}
	slices.Sort(vs)
	return vs
}

// quantile gives the measurement below which a share q of the sorted ones lies; 0 of none.
func quantile(sorted []Micros, q float64) Micros {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// mean is that of the measurements taken after t; 0 of none.
func (s *samples) mean(t Micros) Micros {
	var sum, n Micros
	for i, v := range s.v[:min(s.n, len(s.v))] {
		if s.at[i] >= t {
			sum, n = sum+v, n+1
		}
	}
	return sum / max(1, n)
}

func mean(vs []Micros) Micros {
	var sum Micros
	for _, v := range vs {
		sum += v
	}
	return sum / Micros(max(1, len(vs)))
}

// after drops the times before t from the front of an ascending list.
func after(times []Micros, t Micros) []Micros {
	i := 0
	for i < len(times) && times[i] < t {
		i++
	}
	return times[i:]
}

// pcg is a permuted congruential generator (XSH-RR 64/32).
type pcg uint64

func (p *pcg) below(n int) int {
	old := uint64(*p)
	*p = pcg(old*6364136223846793005 + 1442695040888963407)
	word := bits.RotateLeft32(uint32((old>>18^old)>>27), -int(old>>59))
	return int(uint64(word) * uint64(n) >> 32)
}

// even spreads two ids over (0, 1].
func even(a, b uint64) float64 { return (float64(mix(a, b)>>11) + 1) / (1 << 53) }

// mix scrambles two ids into one evenly spread number (the finaliser of SplitMix64).
func mix(a, b uint64) uint64 {
	x := a*0x9e3779b97f4a7c15 ^ b
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
