package modelserver

import (
	"maps"
	"math/rand/v2"
	"slices"

	"hollymast/control"
	"hollymast/internal/invariant"
)

// Request is an attempt as the server receives it.
type Request struct {
	ID, Effect     string // recorded in the log
	Router         int
	Function       string
	IdempotencyKey string // empty: none
}

// Result is the outcome of an exchange, which is a request or load command and its response.
type Result uint8

// The results. Overloaded and NotLoaded guarantee that the request did not run; with ConnectionReset it may have.
const (
	Succeeded Result = iota
	Overloaded
	NotLoaded
	ConnectionReset
)

// Response is what the server answers to a request or load command.
type Response struct {
	Result      Result
	Reason      string              // for a rejection
	CacheStatus control.CacheStatus // for a request that succeeded
	Replicas    int                 // number of loaded replicas, in the response to a load command
	LoadReport  control.LoadReport  // not with ConnectionReset
}

// StartMode is how a server starts.
type StartMode bool

// The start modes: at full capacity, or with a share of it that grows during slow start.
const (
	FullCapacity StartMode = false
	SlowStart    StartMode = true
)

// FunctionState is a function that a server holds or loads.
type FunctionState struct {
	Name   string
	Loaded bool // false: its first load is pending
}

// Server is one simulated server. Kill makes it crash; Start brings it back with no functions loaded.
type Server struct {
	config Config
	clock  Clock
	source Source
	log    func(invariant.Record)
	random *rand.Rand

	incarnation  int // incremented by Kill; work started in an earlier incarnation is discarded
	alive        bool
	faults       Faults
	startedAt    control.Micros
	startMode    StartMode
	arrivals     []control.Micros // during slow start: arrivals within the overload window
	functions    map[string]*replicas
	keys         map[string]*keyEntry
	running      int // executions that occupy a core
	waiting      int // executions that wait for a lane or a core
	pendingLoads int
	runnable     []*execution // executions that have a lane and wait for a core
	exchanges    map[uint64]func(Response)
	lastExchange uint64 // ID of the last exchange
}

// New returns a server that is not started. It passes what it receives and does to log.
func New(config Config, clock Clock, source Source, log func(invariant.Record)) *Server {
	return &Server{config: config, clock: clock, source: source, log: log, random: rand.New(rand.NewPCG(config.Seed, uint64(config.Number)))}
}

// Start starts the server with no functions loaded and no faults.
func (s *Server) Start(mode StartMode) {
	s.alive, s.startMode, s.startedAt, s.faults = true, mode, s.clock.Now(), Faults{}
	s.arrivals, s.functions, s.keys = nil, map[string]*replicas{}, map[string]*keyEntry{}
	s.running, s.waiting, s.pendingLoads, s.runnable = 0, 0, 0, nil
	s.exchanges = map[uint64]func(Response){}
	if mode == SlowStart {
		s.log(invariant.Record{Kind: invariant.ServerStarted, Server: s.config.Number})
	}
}

// Kill makes the server crash: all exchanges end with ConnectionReset, replicas and idempotency keys are lost.
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

// Alive reports whether the server is running.
func (s *Server) Alive() bool { return s.alive }

// StartedAt returns when and how the server last started.
func (s *Server) StartedAt() (at control.Micros, mode StartMode) { return s.startedAt, s.startMode }

// SetFaults replaces the injected faults. A restart clears them.
func (s *Server) SetFaults(f Faults) { s.faults = f }

// Functions returns the functions that the server holds or loads, sorted by name.
func (s *Server) Functions() []FunctionState {
	var states []FunctionState
	for _, name := range slices.Sorted(maps.Keys(s.functions)) {
		states = append(states, FunctionState{Name: name, Loaded: s.functions[name].loaded > 0})
	}
	return states
}

// LoadReport returns the server's current load.
func (s *Server) LoadReport() control.LoadReport {
	pinned := 0
	for _, r := range s.functions {
		if r.busy > 0 || r.loading > 0 {
			pinned += r.total()
		}
	}
	cores := float64(s.config.Cores)
	return control.LoadReport{Utilization: min(float64(s.running), cores) / cores, PendingLoads: float64(s.pendingLoads),
		PinnedMemory: float64(pinned) / float64(s.config.MaxReplicas)}
}

// after calls f after a delay unless the server has been killed meanwhile.
func (s *Server) after(d control.Micros, f func()) {
	incarnation := s.incarnation
	s.clock.After(d, func() {
		if s.incarnation == incarnation {
			f()
		}
	})
}

// openExchange starts an exchange, which endExchange or Kill ends.
func (s *Server) openExchange(respond func(Response)) (id uint64) {
	s.lastExchange++
	s.exchanges[s.lastExchange] = respond
	return s.lastExchange
}

// endExchange ends an exchange and adds the current load report to its response.
func (s *Server) endExchange(id uint64, response Response) {
	respond := s.exchanges[id]
	delete(s.exchanges, id)
	if response.Result != ConnectionReset {
		response.LoadReport = s.LoadReport()
	}
	respond(response)
}
