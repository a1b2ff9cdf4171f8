package simulation

import (
	"slices"

	"hollymast/control"
	"hollymast/internal/core"
	"hollymast/internal/invariant"
	"hollymast/internal/overload"
)

// router runs the production core. It is the core.Executor that carries out the core's commands in simulated time, as
// the gateway does on sockets.
type router struct {
	sim             *simulation
	node            *node
	number          int
	core            *core.Core           // nil: the router is down
	overload        *overload.Controller // nil: no overload protection
	incarnation     uint64
	stalledUntil    control.Micros
	partitions      []*Incident // active partitions that affect the router
	requests        map[control.RequestID]*request
	openRequests    []*request // in order of arrival; answered requests are removed from time to time
	lastID          control.RequestID
	timerGeneration uint64 // incremented by each SetTimer, so that a replaced timer is ignored
	endpoints       []control.Endpoint
	revision        int // of endpoints
	steps           int
}

func newRouter(sim *simulation, number int) *router {
	return &router{sim: sim, node: sim.engine.newNode(sim.plan.Seed), number: number}
}

// Factors that keep the seeds of runs, routers and incarnations distinct, up to 64 incarnations of a router.
const (
	seedsPerRun    = 1_000_003
	seedsPerRouter = 64
)

// start begins a new incarnation without any state but the last endpoint list that the router has polled.
func (r *router) start() {
	now, plan := r.node.Now(), r.sim.plan
	d := plan.Deployment
	d.Routers, d.RouterIndex, d.Zone = plan.Routers, r.number, plan.RouterZones[r.number]
	seed := plan.Seed*seedsPerRun + uint64(r.number)*seedsPerRouter + r.incarnation
	r.core = core.New(plan.newPolicy(now, seed, d), r)
	r.overload = plan.newOverloadController(now, seed)
	r.requests, r.openRequests = map[control.RequestID]*request{}, nil
	if r.incarnation > 0 {
		r.node.record(invariant.Record{Kind: invariant.RouterRestarted, Router: r.number})
		r.node.record(invariant.Record{Kind: invariant.RouterUp, Router: r.number})
		r.core.UpdateEndpoints(now, control.FullUpdate, r.endpoints)
	}
	r.incarnation++
	r.step()
}

// newPolicy returns a router's policy.
func (p *Plan) newPolicy(now control.Micros, seed uint64, d control.Deployment) core.Policy {
	if p.NewPolicy != nil {
		return p.NewPolicy(now, seed, d)
	}
	return control.New(now, seed, d)
}

// newOverloadController returns a router's overload protection; nil: none. The simulation has no tenants.
func (p *Plan) newOverloadController(now control.Micros, seed uint64) *overload.Controller {
	if !p.OverloadProtection {
		return nil
	}
	var importances []float64
	for _, c := range p.Classes {
		importances = append(importances, c.Importance)
	}
	return overload.NewController(now, nil, importances, p.Deployment.MaxRetryAfter, seed)
}

// kill crashes the router, which resets its clients' connections.
func (r *router) kill() {
	r.node.record(invariant.Record{Kind: invariant.RouterDown, Router: r.number})
	r.core = nil
	for _, req := range r.openRequests {
		if !req.answered {
			r.answer(req, connReset, 0)
		}
	}
	r.requests, r.openRequests = nil, nil
}

// stall stops the router's event loop until a time. Events that arrive meanwhile wait.
func (r *router) stall(until control.Micros) {
	r.node.record(invariant.Record{Kind: invariant.RouterDown, Router: r.number})
	r.stalledUntil = until
	r.node.at(until, func() { r.node.record(invariant.Record{Kind: invariant.RouterUp, Router: r.number}) })
}

// post runs f followed by a step of the event loop. During a stall it waits; if the incarnation has ended it does
// nothing.
func (r *router) post(incarnation uint64, f func(now control.Micros)) {
	now := r.node.Now()
	switch {
	case r.core == nil || r.incarnation != incarnation:
	case now < r.stalledUntil:
		r.node.at(r.stalledUntil, func() { r.post(incarnation, f) })
	default:
		f(now)
		r.step()
	}
}

// step takes a step of the event loop.
func (r *router) step() {
	r.steps++
	r.core.Step(r.node.Now())
	if r.overload != nil {
		r.overload.LogLines()
	}
}

// updateEndpoints applies a polled endpoint list. A list older than the current one is ignored: later polls never return
// an older list.
func (r *router) updateEndpoints(revision int, endpoints []control.Endpoint) {
	if revision <= r.revision {
		return
	}
	r.revision, r.endpoints = revision, endpoints
	r.post(r.incarnation, func(now control.Micros) { r.core.UpdateEndpoints(now, control.FullUpdate, endpoints) })
}

// canReach reports whether no partition separates the router from a server.
func (r *router) canReach(server int) bool {
	return !slices.ContainsFunc(r.partitions, func(partition *Incident) bool { return slices.Contains(partition.Unreachable, server) })
}
