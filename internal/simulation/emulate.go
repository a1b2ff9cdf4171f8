// Package simulation plays days in simulated time: hundreds of unchanged cores, each with a decision module of its own, against the same
// model servers that stand-ins run on sockets, with clients that retry, a shared store, network delays, partitions, and routers and
// servers that freeze, die and come back. The same plan gives the same records, to the last byte, whatever the number of threads.
package simulation

import (
	"encoding/binary"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"hollymast/control"
	"hollymast/internal/core"
	"hollymast/internal/invariant"
	"hollymast/internal/modelserver"
	"hollymast/internal/overload"
)

// Workload is one kind of jobs.
type Class struct {
	Name       string
	Spec       control.Class
	Importance float64
}

// Call is one effect that a client wants.
type Call struct {
	At             control.Micros
	Number         int
	Class          int
	Function       string
	Timeout        control.Micros
	RetriesBlindly bool // its client asks again at once, as if for the first time, until its patience ends
	FirstRouter    int  // that a rude client begins with
}

// Trouble is something that goes wrong for a time.
type Incident struct {
	Kind          IncidentKind
	At            control.Micros
	Duration      control.Micros
	Targets       []int              // servers or routers
	Unreachable   []int              // Partition: the servers that the routers in Which don't reach
	Faults        modelserver.Faults // Fault: what the servers do
	StoreSlowdown float64            // Store
	StoreClosed   bool               // Store
}

// Kind is a trouble's.
type IncidentKind uint8

// The kinds of trouble.
const (
	ServerFault      IncidentKind = iota // servers fail as told
	ServerCrash                          // servers die; they come back cold, and the list tells it
	ServerDeploy                         // they drain first, and are gone meanwhile
	StoreDegraded                        // the store is slow or closed
	StaleEndpoints                       // the list is not written
	RouterStall                          // routers stand still
	RouterCrash                          // routers die and are started anew, with nothing
	NetworkPartition                     // some routers don't reach some servers
)

// Plan is a day to be played.
type Plan struct {
	Seed                 uint64
	Routers              int
	Deployment           control.Deployment // Routers and Number are set here
	Servers              []modelserver.Config
	ServerZones          []control.ZoneID // of servers; cells are the same
	RouterZones          []control.ZoneID
	Classes              []Class
	LanesPerRequest      int
	FetchTime            control.Micros // of the store, with nothing in the way
	ConcurrentFetches    int            // fetches that it serves at once
	Calls                []Call
	Clients              int // that the calls are dealt to, each with connections, budget and chance of its own
	Incidents            []Incident
	Duration             control.Micros // of the day; what is in hand then has its time to end
	AnswerMargin         control.Micros // an answer's way to the client
	OverloadProtection   bool           // routers damp storms
	EndpointPollInterval control.Micros // between two looks of a router at the list

	// Decide gives a router's decisions; nil: the module's. Baselines stand here.
	NewPolicy func(now control.Micros, seed uint64, d control.Deployment) core.Policy
}

// Result is a played day.
type Result struct {
	Records  []invariant.Record // in order of time
	Hash     uint64             // of all records: two runs are alike if and only if (but for one chance in 2^64) their hashes are
	Events   int
	Steps    int
	Outcomes []CallOutcome // by call
}

// Effect is what became of a call.
type CallOutcome struct {
	Call       int // of the plan
	InTime     bool
	FinishedAt control.Micros // 0: never finished
	Attempts   int
}

// epoch is the time at which days begin: above zero, which means "long ago" or "none" to the module.
const epoch = control.Micros(1_000_000_000)

// The ways between nodes: half a millisecond at least and as much on average on top, as within a hall.
const (
	leastWay = control.Micros(500)
	moreWay  = 500.0
)

// How long a dial that nobody answers and an order are waited for, as routers usually are told, and how long clients wait for a late
// answer, as the laboratory's do on sockets.
const (
	dialTime  = control.Micros(1_000_000)
	orderTime = control.Micros(30_000_000)
	lateness  = control.Micros(300_000) // for which clients still read a late answer, so that it is seen
)

// world is a day under way.
type world struct {
	plan    *Plan
	engine  *engine
	ground  *ground
	routers []*router
	servers []*server
	clients []*client
}

func (n *node) way() control.Micros { return leastWay + control.Micros(n.chance.ExpFloat64()*moreWay) }

// Run plays a day on some threads.
func Run(plan *Plan, threads int) *Result {
	w := &world{plan: plan, engine: newEngine(max(1, threads), leastWay)}
	w.ground = newGround(w)
	for i := range plan.Routers {
		w.routers = append(w.routers, newRouter(w, i))
	}
	for i := range plan.Servers {
		w.servers = append(w.servers, newServer(w, i))
	}
	for i := range max(1, plan.Clients) {
		w.clients = append(w.clients, newClient(w, i))
	}
	for _, s := range w.engine.shards {
		s.now = epoch
	}
	w.ground.begin()
	for _, s := range w.servers {
		s.model.Start(modelserver.FullCapacity)
	}
	for _, r := range w.routers {
		r.start()
	}
	most := control.Micros(0)
	for i := range plan.Calls {
		c := &plan.Calls[i]
		x := w.clients[c.Number%len(w.clients)]
		x.node.at(epoch+c.At, func() { x.begin(i, c) })
		most = max(most, c.Timeout)
	}
	for i := range plan.Incidents {
		w.trouble(&plan.Incidents[i])
	}
	res := &Result{Events: w.engine.run(epoch + plan.Duration + most + lateness + 1_000_000)}
	res.gather(w)
	return res
}

// gather brings the nodes' records together.
func (res *Result) gather(w *world) {
	for _, n := range w.engine.nodes {
		res.Records = append(res.Records, n.log...)
	}
	slices.SortStableFunc(res.Records, func(a, b invariant.Record) int { return int(a.At - b.At) })
	h := xxhash.New()
	var b []byte
	for _, r := range res.Records {
		b = binary.AppendVarint(b[:0], r.At)
		b = append(b, byte(r.Kind))
		b = binary.AppendVarint(b, int64(r.Server))
		b = binary.AppendVarint(b, int64(r.Router))
		b = binary.AppendVarint(b, r.Deadline)
		for _, text := range []string{r.Request, r.Effect, r.Workload, r.Detail} {
			b = append(append(b, text...), 0)
		}
		h.Write(b)
	}
	res.Hash = h.Sum64()
	for _, r := range w.routers {
		res.Steps += r.turns
	}
	res.Outcomes = make([]CallOutcome, len(w.plan.Calls))
	for _, c := range w.clients {
		for _, e := range c.effects {
			res.Outcomes[e.Call] = e
		}
	}
}

// trouble has a trouble happen to those that it is for.
func (w *world) trouble(t *Incident) {
	from, to := epoch+t.At, epoch+t.At+t.Duration
	servers := func(at control.Micros, f func(s *server)) {
		for _, i := range t.Targets {
			s := w.servers[i]
			s.node.at(at, func() { f(s) })
		}
	}
	list := func(at control.Micros, f func(i int)) {
		w.ground.node.at(at, func() {
			for _, i := range t.Targets {
				f(i)
			}
			w.ground.publish()
		})
	}
	routers := func(at control.Micros, f func(r *router)) {
		for _, i := range t.Targets {
			r := w.routers[i]
			r.node.at(at, func() { f(r) })
		}
	}
	back := func() {
		servers(to, func(s *server) { s.model.Start(modelserver.SlowStart) })
		list(to, func(i int) { w.ground.ready(i, to) })
	}
	switch t.Kind {
	case ServerFault:
		servers(from, func(s *server) { s.model.SetFaults(t.Faults) })
		servers(to, func(s *server) { s.model.SetFaults(modelserver.Faults{}) })
	case ServerCrash:
		servers(from, func(s *server) { s.model.Kill() })
		back()
	case ServerDeploy:
		list(from, func(i int) { w.ground.list[i].State = control.Draining })
		list(to-1, func(i int) { w.ground.list[i].State = control.Removed })
		servers(to-1, func(s *server) { s.model.Kill() })
		back()
	case StoreDegraded:
		w.ground.node.at(from, func() { w.ground.store.Degrade(max(1, t.StoreSlowdown), t.StoreClosed) })
		w.ground.node.at(to, func() { w.ground.store.Degrade(1, false) })
	case StaleEndpoints:
		w.ground.node.at(from, func() { w.ground.stale++ })
		w.ground.node.at(to, func() { w.ground.stale--; w.ground.publish() })
	case RouterStall:
		routers(from, func(r *router) { r.freeze(to) })
	case RouterCrash:
		routers(from, func(r *router) { r.kill() })
		routers(to, func(r *router) { r.start() })
	case NetworkPartition:
		routers(from, func(r *router) { r.apart = append(r.apart, t) })
		routers(to, func(r *router) { r.apart = slices.DeleteFunc(r.apart, func(x *Incident) bool { return x == t }) })
	}
}

// ground is what stands still: the store and the list.
type ground struct {
	node  *node
	w     *world
	store *modelserver.Store
	list  []control.Endpoint
	told  []control.ServerState
	stale int
	count int // of lists written
}

func newGround(w *world) *ground {
	g := &ground{node: w.engine.node(w.plan.Seed), w: w}
	g.store = modelserver.NewStore(g.node, w.plan.FetchTime, w.plan.ConcurrentFetches)
	for i := range w.plan.Servers {
		zone := w.plan.ServerZones[i]
		g.list = append(g.list, control.Endpoint{Server: serverID(i), State: control.Ready, Zone: zone, Cell: control.CellID(zone), Weight: 1})
	}
	g.told = make([]control.ServerState, len(g.list))
	return g
}

func (g *ground) begin() { g.publish() }

func (g *ground) ready(i int, born control.Micros) {
	g.list[i].State, g.list[i].StartedAt = control.Ready, born
}

var states = map[control.ServerState]string{control.Removed: "gone", control.Draining: "draining", control.Ready: "ready"}

// publish writes the list; each router looks at it within its own time.
func (g *ground) publish() {
	if g.stale > 0 {
		return
	}
	for i, l := range g.list {
		if g.told[i] != l.State {
			g.told[i] = l.State
			g.node.record(invariant.Record{Kind: invariant.EndpointPublished, Server: i, Detail: states[l.State]})
		}
	}
	list := slices.DeleteFunc(slices.Clone(g.list), func(l control.Endpoint) bool { return l.State == control.Removed })
	g.count++
	count := g.count
	for _, r := range g.w.routers {
		look := control.Micros(g.node.chance.Int64N(int64(max(1, g.w.plan.EndpointPollInterval))))
		g.node.send(r.node, leastWay+look, func() { r.listed(count, list) })
	}
}

// server is a model server on its node.
type server struct {
	node  *node
	model *modelserver.Server
	w     *world
}

func newServer(w *world, i int) *server {
	s := &server{node: w.engine.node(w.plan.Seed), w: w}
	s.model = modelserver.New(w.plan.Servers[i], s.node, s, s.node.record)
	return s
}

// Fetch asks the store.
func (s *server) Fetch(done func()) {
	g := s.w.ground
	s.node.send(g.node, s.node.way(), func() {
		g.store.Fetch(func() { g.node.send(s.node, g.node.way(), done) })
	})
}

func serverID(i int) control.ServerID { return control.ServerID(i + 1) }

// functionID names a function alike in all routers.
func functionID(name string) control.FunctionID { return control.FunctionID(xxhash.Sum64String(name)) }

// watch gives a router its watch over storms; nil: it has none. Days here have no tenants.
func (w *world) watch(now control.Micros, seed uint64) *overload.Controller {
	if !w.plan.OverloadProtection {
		return nil
	}
	var importances []float64
	for _, x := range w.plan.Classes {
		importances = append(importances, x.Importance)
	}
	return overload.NewController(now, nil, importances, w.plan.Deployment.MaxRetryAfter, seed)
}

func itoa(n int) string { return strconv.Itoa(n) }
