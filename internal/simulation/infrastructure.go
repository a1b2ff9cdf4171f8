package simulation

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"hollymast/control"
	"hollymast/internal/invariant"
	"hollymast/internal/modelserver"
)

// infrastructure is the node of the shared services: the function store and the publisher of the endpoint list. They may
// degrade but never crash.
type infrastructure struct {
	node           *node
	sim            *simulation
	store          *modelserver.Store
	endpoints      []control.Endpoint    // actual endpoints, by server
	published      []control.ServerState // states as last published, by server
	staleIncidents int                   // number of active incidents that prevent publishing
	revision       int                   // of the published list
}

func newInfrastructure(sim *simulation) *infrastructure {
	infra := &infrastructure{node: sim.engine.newNode(sim.plan.Seed), sim: sim}
	infra.store = modelserver.NewStore(infra.node, sim.plan.FetchTime, sim.plan.MaxConcurrentFetches)
	for i := range sim.plan.Servers {
		zone := sim.plan.ServerZones[i]
		infra.endpoints = append(infra.endpoints, control.Endpoint{Server: serverID(i), State: control.Ready, Zone: zone, Cell: control.CellID(zone), Weight: 1})
	}
	infra.published = make([]control.ServerState, len(infra.endpoints))
	return infra
}

// endpointStateDetails are the states of endpoints in the details of records.
var endpointStateDetails = map[control.ServerState]string{control.Removed: "gone", control.Draining: "draining", control.Ready: "ready"}

// publish publishes the endpoint list unless an incident prevents it. Each router sees it after a random part of the
// poll interval.
func (infra *infrastructure) publish() {
	if infra.staleIncidents > 0 {
		return
	}
	for i, e := range infra.endpoints {
		if infra.published[i] != e.State {
			infra.published[i] = e.State
			infra.node.record(invariant.Record{Kind: invariant.EndpointPublished, Server: i, Detail: endpointStateDetails[e.State]})
		}
	}
	list := slices.DeleteFunc(slices.Clone(infra.endpoints), func(e control.Endpoint) bool { return e.State == control.Removed })
	infra.revision++
	revision := infra.revision
	for _, r := range infra.sim.routers {
		untilPoll := control.Micros(infra.node.random.Int64N(int64(max(1, infra.sim.plan.EndpointPollInterval))))
		infra.node.send(r.node, minDelay+untilPoll, func() { r.updateEndpoints(revision, list) })
	}
}

// server is a node that runs a model server.
type server struct {
	node  *node
	model *modelserver.Server
	sim   *simulation
}

func newServer(sim *simulation, i int) *server {
	s := &server{node: sim.engine.newNode(sim.plan.Seed), sim: sim}
	s.model = modelserver.New(sim.plan.Servers[i], s.node, s, s.node.record)
	return s
}

// Fetch fetches a function from the store and then calls done.
func (s *server) Fetch(done func()) {
	infra := s.sim.infrastructure
	s.node.send(infra.node, s.node.randomDelay(), func() {
		infra.store.Fetch(func() { infra.node.send(s.node, infra.node.randomDelay(), done) })
	})
}

// serverID returns the balancer's ID of Plan.Servers[i]; serverIndex is the inverse. No server has ID 0.
func serverID(i int) control.ServerID { return control.ServerID(i + 1) }

func serverIndex(id control.ServerID) int { return int(id) - 1 }

// functionID returns a function's ID, which is the same in all routers.
func functionID(name string) control.FunctionID { return control.FunctionID(xxhash.Sum64String(name)) }
