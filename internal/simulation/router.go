package simulation

import (
	"slices"

	"hollymast/control"
	"hollymast/internal/core"
	"hollymast/internal/invariant"
	"hollymast/internal/overload"
)

// router is one router: an unchanged core, and the core.Executor that carries out what it asks, as the gateway does on sockets.
type router struct {
	world        *world
	node         *node
	number       int
	core         *core.Core           // nil: it is down
	overload     *overload.Controller // nil: the plan has no overload protection
	incarnation  uint64
	stalledUntil control.Micros
	partitions   []*Incident // that keep servers from it
	requests     map[control.RequestID]*request
	open         []*request // in order of arrival; answered ones are removed now and then
	lastID       control.RequestID
	timer        uint64 // counts up with each timer, so that a replaced one is ignored
	endpoints    []control.Endpoint
	revision     int // of the endpoints
	steps        int
}

func newRouter(w *world, number int) *router {
	return &router{world: w, node: w.engine.newNode(w.plan.Seed), number: number}
}

// Multipliers that keep the seeds of days, routers and incarnations apart, up to 64 incarnations of a router.
const (
	seedsPerDay    = 1_000_003
	seedsPerRouter = 64
)

// start begins an incarnation that knows nothing.
func (r *router) start() {
	now, plan := r.node.Now(), r.world.plan
	d := plan.Deployment
	d.Routers, d.RouterIndex, d.Zone = plan.Routers, r.number, plan.RouterZones[r.number]
	seed := plan.Seed*seedsPerDay + uint64(r.number)*seedsPerRouter + r.incarnation
	r.core = core.New(plan.newPolicy(now, seed, d), r)
	r.overload = plan.newOverloadController(now, seed)
	r.requests, r.open = map[control.RequestID]*request{}, nil
	if r.incarnation > 0 {
		r.node.record(invariant.Record{Kind: invariant.RouterRestarted, Router: r.number})
		r.node.record(invariant.Record{Kind: invariant.RouterUp, Router: r.number})
		r.core.UpdateEndpoints(now, control.FullUpdate, r.endpoints)
	}
	r.incarnation++
	r.step()
}

func (p *Plan) newPolicy(now control.Micros, seed uint64, d control.Deployment) core.Policy {
	if p.NewPolicy != nil {
		return p.NewPolicy(now, seed, d)
	}
	return control.New(now, seed, d)
}

// newOverloadController returns a router's overload protection, nil without any. Days in simulated time have no tenants.
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

// kill ends an incarnation: connections break.
func (r *router) kill() {
	r.node.record(invariant.Record{Kind: invariant.RouterDown, Router: r.number})
	r.core = nil
	for _, q := range r.open {
		if !q.answered {
			r.answer(q, connReset, 0)
		}
	}
	r.requests, r.open = nil, nil
}

// stall has it do nothing until a time; what comes meanwhile waits.
func (r *router) stall(until control.Micros) {
	r.node.record(invariant.Record{Kind: invariant.RouterDown, Router: r.number})
	r.stalledUntil = until
	r.node.at(until, func() { r.node.record(invariant.Record{Kind: invariant.RouterUp, Router: r.number}) })
}

// post has something happen and then takes a step, once the router is not stalled and if its incarnation is still the same.
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

func (r *router) step() {
	r.steps++
	r.core.Step(r.node.Now())
	if r.overload != nil {
		r.overload.LogLines()
	}
}

// updateEndpoints takes in a polled endpoint list. One older than the last is ignored: no poll could still read it.
func (r *router) updateEndpoints(revision int, endpoints []control.Endpoint) {
	if revision <= r.revision {
		return
	}
	r.revision, r.endpoints = revision, endpoints
	r.post(r.incarnation, func(now control.Micros) { r.core.UpdateEndpoints(now, control.FullUpdate, endpoints) })
}

// reaches reports whether no partition keeps a server from the router.
func (r *router) reaches(server int) bool {
	return !slices.ContainsFunc(r.partitions, func(x *Incident) bool { return slices.Contains(x.Unreachable, server) })
}
