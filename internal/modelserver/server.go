package modelserver

import (
	"maps"
	"math/rand/v2"
	"slices"

	"hollymast/control"
	"hollymast/internal/invariant"
)

// Request is an attempt as it reaches the server.
type Request struct {
	ID, Effect     string // for the log
	Router         int
	Function       string
	IdempotencyKey string // empty: none
}

// Result is how the server ends an exchange.
type Result uint8

// The results. Overloaded and NotLoaded promise that the request did not run; ConnectionReset is a connection that breaks.
const (
	Succeeded Result = iota
	Overloaded
	NotLoaded
	ConnectionReset
)

// Response ends an exchange.
type Response struct {
	Result      Result
	Reason      string              // of a rejection
	CacheStatus control.CacheStatus // of a request that succeeded
	Replicas    int                 // that are loaded, in the answer to a load command
	LoadReport  control.LoadReport  // except with ConnectionReset
}

// StartMode is how a server starts.
type StartMode bool

// The ways to start: with all of its capacity, or with a share that grows over the slow start.
const (
	FullCapacity StartMode = false
	SlowStart    StartMode = true
)

// FunctionState is a function that a server holds.
type FunctionState struct {
	Name   string
	Loaded bool // false: its first load is under way
}

// Server is one server; Kill and Start make it crash and come back empty.
type Server struct {
	config Config
	clock  Clock
	source Source
	log    func(invariant.Record)
	random *rand.Rand

	incarnation int // counts up with each Kill: what was begun in an earlier one is void
	alive       bool
	faults      Faults
	startedAt   control.Micros
	startMode   StartMode
	arrivals    []control.Micros // within the overload window, while in slow start
	functions   map[string]*replicas
	keys        map[string]*keyedRequest
	running     int          // executions that have a core
	waiting     int          // executions that wait for a lane or a core
	loading     int          // loads under way
	runnable    []*execution // have a lane and wait for a core
	exchanges   map[uint64]func(Response)
	lastID      uint64 // of an exchange
}

// New returns a server that is not started. Log takes what happens at its end of the wire.
func New(config Config, clock Clock, source Source, log func(invariant.Record)) *Server {
	return &Server{config: config, clock: clock, source: source, log: log, random: rand.New(rand.NewPCG(config.Seed, uint64(config.Number)))}
}

// Start starts it, empty and without faults.
func (s *Server) Start(mode StartMode) {
	s.alive, s.startMode, s.startedAt, s.faults = true, mode, s.clock.Now(), Faults{}
	s.arrivals, s.functions, s.keys = nil, map[string]*replicas{}, map[string]*keyedRequest{}
	s.running, s.waiting, s.loading, s.runnable = 0, 0, 0, nil
	s.exchanges = map[uint64]func(Response){}
	if mode == SlowStart {
		s.log(invariant.Record{Kind: invariant.ServerStarted, Server: s.config.Number})
	}
}

// Kill has it crash: connections break, replicas and idempotency keys are gone.
func (s *Server) Kill() {
	if !s.alive {
		return
	}
	s.alive = false
	s.incarnation++
	exchanges := s.exchanges
	s.exchanges = map[uint64]func(Response){}
	for _, id := range slices.Sorted(maps.Keys(exchanges)) {
		exchanges[id](Response{Result: ConnectionReset})
	}
}

// Alive reports whether it runs.
func (s *Server) Alive() bool { return s.alive }

// StartedAt returns when it last started, and how.
func (s *Server) StartedAt() (at control.Micros, mode StartMode) { return s.startedAt, s.startMode }

// SetFaults has it fail in these ways from now on, until they are set again or it restarts.
func (s *Server) SetFaults(f Faults) { s.faults = f }

// Functions lists the functions that it holds or loads, by name.
func (s *Server) Functions() []FunctionState {
	var states []FunctionState
	for _, name := range slices.Sorted(maps.Keys(s.functions)) {
		states = append(states, FunctionState{Name: name, Loaded: s.functions[name].loaded > 0})
	}
	return states
}

// LoadReport is its load as it is now.
func (s *Server) LoadReport() control.LoadReport {
	pinned := 0
	for _, r := range s.functions {
		if r.busy > 0 || r.loading > 0 {
			pinned += r.total()
		}
	}
	cores := float64(s.config.Cores)
	return control.LoadReport{Utilization: min(float64(s.running), cores) / cores, PendingLoads: float64(s.loading),
		PinnedMemory: float64(pinned) / float64(s.config.MaxReplicas)}
}

// after has f called after a span if the server has not been killed meanwhile.
func (s *Server) after(d control.Micros, f func()) {
	incarnation := s.incarnation
	s.clock.After(d, func() {
		if s.incarnation == incarnation {
			f()
		}
	})
}

// open begins an exchange, to be ended once by end or by Kill.
func (s *Server) open(respond func(Response)) (id uint64) {
	s.lastID++
	s.exchanges[s.lastID] = respond
	return s.lastID
}

// end ends an exchange, with the load as it is now.
func (s *Server) end(id uint64, response Response) {
	respond := s.exchanges[id]
	delete(s.exchanges, id)
	if response.Result != ConnectionReset {
		response.LoadReport = s.LoadReport()
	}
	respond(response)
}
