package simulation

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"hollymast/control"
	"hollymast/internal/invariant"
	"hollymast/internal/modelserver"
)

// infrastructure is the node of what never fails as a whole: the store and the source of the endpoint list.
type infrastructure struct {
	node      *node
	world     *world
	store     *modelserver.Store
	endpoints []control.Endpoint    // as they are, by server
	published []control.ServerState // as last published
	stale     int                   // incidents that keep the list from being published
	revision  int                   // of the list
}

func newInfrastructure(w *world) *infrastructure {
	infra := &infrastructure{node: w.engine.newNode(w.plan.Seed), world: w}
	infra.store = modelserver.NewStore(infra.node, w.plan.FetchTime, w.plan.MaxConcurrentFetches)
	for i := range w.plan.Servers {
		zone := w.plan.ServerZones[i]
		infra.endpoints = append(infra.endpoints, control.Endpoint{Server: serverID(i), State: control.Ready, Zone: zone, Cell: control.CellID(zone), Weight: 1})
	}
	infra.published = make([]control.ServerState, len(infra.endpoints))
	return infra
}

// stateWords are the records' words for states of endpoints.
var stateWords = map[control.ServerState]string{control.Removed: "gone", control.Draining: "draining", control.Ready: "ready"}

// publish publishes the list; each router sees it within the poll interval.
func (infra *infrastructure) publish() {
	if infra.stale > 0 {
		return
	}
	for i, e := range infra.endpoints {
		if infra.published[i] != e.State {
			infra.published[i] = e.State
			infra.node.record(invariant.Record{Kind: invariant.EndpointPublished, Server: i, Detail: stateWords[e.State]})
		}
	}
	list := slices.DeleteFunc(slices.Clone(infra.endpoints), func(e control.Endpoint) bool { return e.State == control.Removed })
	infra.revision++
	revision := infra.revision
	for _, r := range infra.world.routers {
		untilPoll := control.Micros(infra.node.random.Int64N(int64(max(1, infra.world.plan.EndpointPollInterval))))
		infra.node.send(r.node, minDelay+untilPoll, func() { r.updateEndpoints(revision, list) })
	}
}

// server is a model server on its node.
type server struct {
	node  *node
	model *modelserver.Server
	world *world
}

func newServer(w *world, i int) *server {
	s := &server{node: w.engine.newNode(w.plan.Seed), world: w}
	s.model = modelserver.New(w.plan.Servers[i], s.node, s, s.node.record)
	return s
}

// Fetch fetches a function from the store.
func (s *server) Fetch(done func()) {
	infra := s.world.infrastructure
	s.node.send(infra.node, s.node.delay(), func() {
		infra.store.Fetch(func() { infra.node.send(s.node, infra.node.delay(), done) })
	})
}

// serverID and serverIndex turn an index into Plan.Servers into the balancer's id and back. No server has id 0.
func serverID(i int) control.ServerID { return control.ServerID(i + 1) }

func serverIndex(id control.ServerID) int { return int(id) - 1 }

// functionID is a function's id, the same in all routers.
func functionID(name string) control.FunctionID { return control.FunctionID(xxhash.Sum64String(name)) }
