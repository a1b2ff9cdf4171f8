// Package modelserver is a model server as plain state, driven by a clock that it is given: lanes, cores, memory, loads from a shared
// store, a cold start, refusals, repeats dropped within their window, and scripted ways of failing. Stand-ins run it on sockets, the
// emulator in simulated time. It is free of I/O, and for one goroutine (or one lock) at a time.
package modelserver

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"

	"hollymast/control"
	"hollymast/internal/invariant"
)

// Clock is the time a server lives in.
type Clock interface {
	Now() control.Micros
	// After has f called after a span, never within this call.
	After(d control.Micros, f func())
}

// Source is where functions' bytes come from. Done is called in the server's own time, never within this call.
type Source interface {
	Fetch(done func())
}

// Make is what a server is made like.
type Config struct {
	Number            int
	MaxReplicas       int            // that fit into its memory
	Lanes             int            // jobs that one copy runs at once
	Cores             int            // jobs that it runs at once; others wait
	ExecutionTime     control.Micros // of one job, on average
	QueueLimit        int            // jobs that wait before it refuses
	LoadTime          control.Micros // beside the fetch
	MaxLoads          int            // at once; as many more may wait
	LoadCommandsOnly  bool           // a job whose function is missing is refused
	DedupWindow       control.Micros // for which repeats are known
	NoDedupPrefix     string         // marks that begin so are not known: a repeat of those runs again
	KeepAlive         control.Micros
	SlowStartDuration control.Micros
	SlowStartInitial  float64
	OverloadWindow    control.Micros
	OverloadRate      float64 // jobs a second at full capacity times the told multiple: more, while cold, and it falls over
	Seed              uint64
}

// Faults are the ways in which a server fails just now. Shares are of 1.
type Faults struct {
	Silent      bool    // takes all, does nothing, answers nothing
	LostAnswers float64 // runs the job and never answers
	ResetBefore float64 // breaks the connection before it runs the job
	ResetAfter  float64 // breaks it after
	Slowdown    float64 // multiplies the work; 0: as usual
	Overloaded  bool    // refuses all
}

// Ask is an execution as it reaches the server.
type Request struct {
	ID, Effect     string // for the log
	Router         int
	Function       string
	IdempotencyKey string // of its repeats; empty: none
}

// Ending is how the server ends an exchange.
type Result uint8

// The endings. Full and Missing promise that the job did not run; Broken is a connection that breaks.
const (
	Succeeded Result = iota
	Overloaded
	NotLoaded
	ConnectionReset
)

// Reply ends an exchange.
type Response struct {
	Result      Result
	Reason      string              // of a refusal
	CacheStatus control.CacheStatus // of Done
	Replicas    int                 // that stand, in the answer to an order
	LoadReport  control.LoadReport  // its load
}

// Server is one server; Kill and Start make it die and come back empty.
type Server struct {
	m      Config
	clock  Clock
	source Source
	log    func(invariant.Record)
	chance *rand.Rand

	life    int // counts up with each death: what was begun in an earlier one is void
	alive   bool
	faults  Faults
	born    control.Micros
	cold    bool
	copies  map[string]*copies
	marks   map[string]*mark
	recent  []control.Micros
	running int
	waiting int
	loading int
	ready   []*run // have a lane and wait for a core
	open    map[uint64]func(Response)
	last    uint64
}

type copies struct {
	n, loading, lanes int // lanes: free ones
	used              control.Micros
	busy              int
	queue             []*run // wait for a lane
}

// mark is a fingerprint, and who waits for the end of the job that brought it.
type mark struct {
	at    control.Micros
	ended bool
	wait  []uint64
}

// run is one execution.
type run struct {
	rec   invariant.Record
	copy  *copies
	id    uint64
	found control.CacheStatus
	key   string
	mark  *mark // nil: none is kept
	slow  float64
	lost  bool // it is never answered
	post  bool // its connection breaks after it
}

// New gives a server that is not started. Log takes what happens at its end of the wire.
func New(m Config, clock Clock, source Source, log func(invariant.Record)) *Server {
	return &Server{m: m, clock: clock, source: source, log: log, chance: rand.New(rand.NewPCG(m.Seed, uint64(m.Number)))}
}

// Start makes it live, empty; a cold one begins with the told share of its capacity.
func (s *Server) Start(cold bool) {
	s.alive, s.cold, s.born, s.faults = true, cold, s.clock.Now(), Faults{}
	s.copies, s.marks, s.recent, s.ready, s.open = map[string]*copies{}, map[string]*mark{}, nil, nil, map[uint64]func(Response){}
	s.running, s.waiting, s.loading = 0, 0, 0
	if cold {
		s.log(invariant.Record{Kind: invariant.ServerStarted, Server: s.m.Number})
	}
}

// Kill ends it: connections break, copies and marks are gone.
func (s *Server) Kill() {
	if !s.alive {
		return
	}
	s.alive = false
	s.life++
	open := s.open
	s.open = map[uint64]func(Response){}
	for _, id := range slices.Sorted(maps.Keys(open)) {
		open[id](Response{Result: ConnectionReset})
	}
}

// Alive tells whether it runs.
func (s *Server) Alive() bool { return s.alive }

// Born is when it last started, and whether that was cold.
func (s *Server) StartedAt() (at control.Micros, cold bool) { return s.born, s.cold }

// Fail sets its ways of failing.
func (s *Server) SetFaults(f Faults) { s.faults = f }

// Standing lists the functions that are there, and whether each is loaded, by name.
func (s *Server) Functions() (names []string, loaded []bool) {
	names = slices.Sorted(maps.Keys(s.copies))
	for _, name := range names {
		loaded = append(loaded, s.copies[name].n > 0)
	}
	return names, loaded
}

// after has f called in this life.
func (s *Server) after(d control.Micros, f func()) {
	life := s.life
	s.clock.After(d, func() {
		if s.life == life {
			f()
		}
	})
}

func (s *Server) hold(reply func(Response)) uint64 {
	s.last++
	s.open[s.last] = reply
	return s.last
}

// end answers an exchange, with the load as it is now.
func (s *Server) end(id uint64, r Response) {
	reply := s.open[id]
	delete(s.open, id)
	if r.Result != ConnectionReset {
		r.LoadReport = s.LoadReport()
	}
	reply(r)
}

// Report is its load.
func (s *Server) LoadReport() control.LoadReport {
	pinned := 0
	for _, c := range s.copies {
		if c.busy > 0 || c.loading > 0 {
			pinned += c.n + c.loading
		}
	}
	return control.LoadReport{Utilization: float64(min(s.running, s.m.Cores)) / float64(s.m.Cores), PendingLoads: float64(s.loading),
		PinnedMemory: float64(pinned) / float64(s.m.MaxReplicas)}
}

func (s *Server) happens(share float64) bool { return share > 0 && s.chance.Float64() < share }

// Infer runs one execution, or refuses it; reply is called once, perhaps within this call, unless the server stays silent until it dies.
func (s *Server) Infer(a Request, reply func(Response)) {
	rec := invariant.Record{Server: s.m.Number, Request: a.ID, Effect: a.Effect, Router: a.Router}
	add := func(k invariant.Kind) { rec.Kind = k; s.log(rec) }
	add(invariant.AttemptReceived)
	f := s.faults
	early, lost, post := s.happens(f.ResetBefore), s.happens(f.LostAnswers), s.happens(f.ResetAfter)
	id := s.hold(reply)
	switch {
	case s.pushedOver():
		add(invariant.ServerCollapsed)
		s.Kill()
		return
	case f.Silent:
		return
	case early:
		s.end(id, Response{Result: ConnectionReset})
		return
	case f.Overloaded:
		add(invariant.AttemptRefused)
		s.end(id, Response{Result: Overloaded, Reason: "full"})
		return
	}
	m, known := s.remember(a.IdempotencyKey)
	if known {
		add(invariant.AttemptDeduplicated)
		if m.ended {
			s.end(id, Response{CacheStatus: control.CacheHit})
		} else {
			m.wait = append(m.wait, id)
		}
		return
	}
	r := &run{rec: rec, id: id, key: a.IdempotencyKey, mark: m, slow: f.Slowdown, lost: lost, post: post}
	refuse := func(e Result, why string) {
		s.forget(r)
		add(invariant.AttemptRefused)
		s.end(id, Response{Result: e, Reason: why})
	}
	c := s.copies[a.Function]
	if s.m.LoadCommandsOnly && c == nil {
		refuse(NotLoaded, "not loaded")
		return
	}
	r.found = control.CacheHit
	switch {
	case c == nil:
		if c = s.room(a.Function, 1); c == nil {
			refuse(Overloaded, "no room")
			return
		}
		r.found = control.CacheMiss
		s.beginLoad(c, 1, func() {})
	case c.n == 0:
		r.found = control.CacheLoading
	}
	if s.waiting >= s.m.QueueLimit {
		refuse(Overloaded, "no room")
		return
	}
	s.waiting++
	c.busy++
	r.copy = c
	c.queue = append(c.queue, r)
	s.dispatch(c)
}

// dispatch gives free lanes and cores to those who wait.
func (s *Server) dispatch(c *copies) {
	for c.lanes > 0 && len(c.queue) > 0 {
		c.lanes--
		s.ready = append(s.ready, c.queue[0])
		c.queue = c.queue[1:]
	}
	for s.running < s.m.Cores && len(s.ready) > 0 {
		r := s.ready[0]
		s.ready = s.ready[1:]
		s.waiting--
		s.running++
		r.rec.Kind = invariant.AttemptStarted
		s.log(r.rec)
		s.after(s.work(r.slow), func() { s.ran(r) })
	}
}

// ran takes in that an execution is through.
func (s *Server) ran(r *run) {
	s.running--
	r.copy.lanes++
	r.copy.busy--
	r.copy.used = s.clock.Now()
	r.rec.Kind = invariant.AttemptEnded
	s.log(r.rec)
	if r.mark != nil {
		r.mark.ended = true
		for _, id := range r.mark.wait {
			s.end(id, Response{CacheStatus: control.CacheHit})
		}
		r.mark.wait = nil
	}
	switch {
	case r.lost:
	case r.post:
		s.end(r.id, Response{Result: ConnectionReset})
	default:
		s.end(r.id, Response{CacheStatus: r.found})
	}
	s.dispatch(r.copy)
}

// forget drops the mark of a job that did not run, and refuses its repeats with it.
func (s *Server) forget(r *run) {
	if r.mark == nil {
		return
	}
	if s.marks[r.key] == r.mark {
		delete(s.marks, r.key)
	}
	for _, id := range r.mark.wait {
		s.end(id, Response{Result: Overloaded, Reason: "its first execution did not run"})
	}
}

// remember tells whether a mark is known within its window, else notes it; nil where none is kept.
func (s *Server) remember(key string) (m *mark, known bool) {
	if key == "" || s.m.NoDedupPrefix != "" && strings.HasPrefix(key, s.m.NoDedupPrefix) {
		return nil, false
	}
	now := s.clock.Now()
	if len(s.marks) > 10_000 { // a window's worth is kept; the rest goes now and then
		maps.DeleteFunc(s.marks, func(_ string, m *mark) bool { return now-m.at > s.m.DedupWindow })
	}
	if m := s.marks[key]; m != nil && now-m.at <= s.m.DedupWindow {
		return m, true
	}
	m = &mark{at: now}
	s.marks[key] = m
	return m, false
}

// pushedOver counts a job of a cold server against what it bears.
func (s *Server) pushedOver() bool {
	now := s.clock.Now()
	age := now - s.born
	if !s.cold || age > s.m.SlowStartDuration {
		return false
	}
	for len(s.recent) > 0 && s.recent[0] < now-s.m.OverloadWindow {
		s.recent = s.recent[1:]
	}
	s.recent = append(s.recent, now)
	return float64(len(s.recent)) > max(1, s.has(age)*s.m.OverloadRate*float64(s.m.OverloadWindow)/1e6)
}

// has is the share of its capacity that a cold server has at an age.
func (s *Server) has(age control.Micros) float64 {
	return s.m.SlowStartInitial + (1-s.m.SlowStartInitial)*float64(age)/float64(s.m.SlowStartDuration)
}

// work draws how long a job takes; a cold server is slower.
func (s *Server) work(slow float64) control.Micros {
	w := float64(s.m.ExecutionTime) * (0.6 + 0.8*s.chance.Float64())
	if age := s.clock.Now() - s.born; s.cold && age < s.m.SlowStartDuration {
		w /= s.has(age)
	}
	return control.Micros(w * max(1, slow))
}

// room makes room for copies and begins their entry; nil where memory is pinned or too many loads wait.
func (s *Server) room(function string, n int) *copies {
	const mostCopies = 16 // of one order
	if s.loading >= 2*s.m.MaxLoads || n > mostCopies {
		return nil
	}
	held := n
	for _, c := range s.copies {
		held += c.n + c.loading
	}
	for held > s.m.MaxReplicas {
		oldest, now := "", s.clock.Now()
		for name, c := range s.copies {
			if c.busy > 0 || c.loading > 0 || now-c.used < s.m.KeepAlive || name == function {
				continue
			}
			if o := s.copies[oldest]; o == nil || cmp.Or(cmp.Compare(c.used, o.used), cmp.Compare(name, oldest)) < 0 {
				oldest = name
			}
		}
		if oldest == "" {
			return nil
		}
		held -= s.copies[oldest].n
		delete(s.copies, oldest)
	}
	c := s.copies[function]
	if c == nil {
		c = &copies{}
		s.copies[function] = c
	}
	c.loading += n
	s.loading++
	return c
}

// load fetches copies and calls done once they stand.
func (s *Server) beginLoad(c *copies, n int, done func()) {
	s.log(invariant.Record{Kind: invariant.LoadStarted, Server: s.m.Number})
	life := s.life
	s.source.Fetch(func() {
		if s.life != life {
			return
		}
		s.after(s.m.LoadTime, func() {
			s.loading--
			c.loading -= n
			c.n += n
			c.lanes += n * s.m.Lanes
			c.used = s.clock.Now()
			s.dispatch(c)
			done()
		})
	})
}

// Order holds as many copies as ordered, and answers when they stand.
func (s *Server) Load(function string, n, router int, reply func(Response)) {
	s.log(invariant.Record{Kind: invariant.LoadCommandReceived, Server: s.m.Number, Router: router})
	id := s.hold(reply)
	if s.faults.Silent {
		return
	}
	c, have := s.copies[function], 0
	if c != nil {
		have = c.n + c.loading
	}
	if n <= have {
		s.end(id, Response{Replicas: c.n})
		return
	}
	if c = s.room(function, n-have); c == nil {
		s.end(id, Response{Result: Overloaded, Reason: "no room"})
		return
	}
	s.beginLoad(c, n-have, func() { s.end(id, Response{Replicas: c.n}) })
}
