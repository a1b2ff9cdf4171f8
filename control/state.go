package control

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
)

// Balancer is the state of one router.
type Balancer struct {
	deployment    Deployment
	random        pcg
	startedAt     Micros
	servers       []*server // by ascending id
	functions     map[FunctionID]*function
	functionOrder []*function // as first seen
	waiting       []*function // for which jobs were held since the last check
	execTimes     []samples   // by workload
	deadlines     []samples   // by workload
	quotaDebt     []Micros    // by tenant: until when its jobs have used up its share
	latencies     samples     // of answers from loaded copies, all servers
	loadTimes     samples     // how long loads took
	queueing      samples     // queueing on all servers, as a server's
	loadCommands  []Micros    // orders to load within the ration's window
	admitted      []Micros    // jobs taken within it
	cancellations []Cancellation
	candidates    []candidate // room for the choice in hand
	logLines      []string
	answers       []Micros // recent ones, of all servers
	answerRate    float64  // see pool
	freshFor      Micros
	recent        []*function // of the last jobs taken
	pruned        int         // functions looked at by tidy, in their order
	subscribed    bool
	index         index
	trace         *Trace // nil but for tools
}

// server is what a router believes of one server.
type server struct {
	Endpoint
	listed             bool
	lastListed         Micros      // when it was last on the list, if it is not there
	weight             float64     // as the index has it: 0 where it is not ready
	questionable       bool        // is in the index's doubted
	present            bool        // as the index has it: not gone
	functions          []*function // of whose copies there something is known, by id
	lastAnswer         Micros      // last sign that it works
	inFlight           []inFlightAttempt
	slowStartSends     []Micros // recent sends, while it is cold
	report             LoadReport
	reportedAt         Micros
	backoffUntil       Micros  // after a refusal
	loadsAfter         Micros  // after a refused load
	concurrencyLimit   float64 // of its window: how many executions of ours it bears at once, see fit
	running            int     // those that run there, not those that wait for a load
	limitLoweredAt     Micros
	queueing           samples // queueing there, in thousandths of the job's slack
	ejected            bool
	probeAt            Micros // when a suspect gets its next job
	ejections          int    // times that it was found sick in a row
	rejections         int    // refusals and errors since it last finished a job
	connectionFailures int    // broken connections since then
}

// candidate is a server that may take a load, with its place in a function's order: lowest key first.
type candidate struct {
	server      *server
	key, weight float64
}

// inFlightAttempt is one execution that is out.
type inFlightAttempt struct {
	request  *Request
	attempt  AttemptID
	sentAt   Micros
	toLoaded bool
}

// function is what a router knows of one function.
type function struct {
	id          FunctionID
	lanes       int
	lastRequest *Request    // the latest one asked about
	loadsDue    int         // loads that the last check found needed
	instances   []*instance // by ascending server id
	execTimes   samples
	delays      samples // holding here plus queueing there
	shed        samples // jobs pushed back for want of slack
	held        int
	waiting     bool   // is in waiting
	recent      int    // of the last jobs taken, those for it
	heldSince   Micros // since when some job has been held
	blockedAt   Micros // when a job for it last found no place
	ranking     ranking
}

// instance is a function's copies on one server, as believed.
type instance struct {
	server       *server
	replicas     int
	lastUsed     Micros // last evidence that they were used
	loading      int
	loadingSince Micros // when the load began
	inFlight     int    // our executions there
}

func (r *Balancer) find(id ServerID) (int, bool) {
	return slices.BinarySearchFunc(r.servers, id,
		func(s *server, id ServerID) int { return cmp.Compare(s.Server, id) })
}

func (f *function) instanceOn(s *server, add bool) *instance {
	i, ok := slices.BinarySearchFunc(f.instances, s.Server,
		func(in *instance, id ServerID) int { return cmp.Compare(in.server.Server, id) })
	if !ok {
		if !add {
			return nil
		}
		f.instances = slices.Insert(f.instances, i, &instance{server: s})
		s.addFunction(f)
	}
	return f.instances[i]
}

// freeShare is the share of a server's window that is free.
func (s *server) freeShare() float64 {
	if s.concurrencyLimit == 0 {
		return 1
	}
	return max(0, 1-float64(s.running)/s.concurrencyLimit)
}

// pendingLoads counts the functions for which our executions on a server began a load or wait for one.
func (s *server) pendingLoads() int {
	n := 0
	for i, fl := range s.inFlight {
		same := func(other inFlightAttempt) bool {
			return !other.toLoaded && other.request.Function == fl.request.Function
		}
		if !fl.toLoaded && !slices.ContainsFunc(s.inFlight[:i], same) {
			n++
		}
	}
	return n
}

func (r *Balancer) logf(format string, args ...any) {
	r.logLines = append(r.logLines, fmt.Sprintf(format, args...))
}

func (r *Balancer) function(j *Request) *function {
	f := r.functions[j.Function]
	if f == nil {
		f = &function{id: j.Function}
		r.functions[j.Function] = f
		r.functionOrder = append(r.functionOrder, f)
	}
	f.lanes, f.lastRequest = max(1, j.Lanes), j
	return f
}

// latencyObjective is a job's start target, which may grow with its execution time.
func (r *Balancer) latencyObjective(j *Request, exec Micros) Micros {
	w := r.deployment.Classes[j.Class]
	return w.LatencyObjective + Micros(w.ObjectivePerWork*float64(exec))
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

// dropBefore drops the times before t from the front of an ascending list.
func dropBefore(times []Micros, t Micros) []Micros {
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

// uniform spreads two ids over (0, 1].
func uniform(a, b uint64) float64 { return (float64(hash(a, b)>>11) + 1) / (1 << 53) }

// hash scrambles two ids into one evenly spread number (the finaliser of SplitMix64).
func hash(a, b uint64) uint64 {
	x := a*0x9e3779b97f4a7c15 ^ b
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
