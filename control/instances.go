package control

import (
	"cmp"
	"slices"
)

// This file holds the state of functions and their instances, as far as this router knows it.

// function is the balancer's state for one function.
type function struct {
	id             FunctionID
	lanes          int
	lastRequest    *Request    // the latest request routed
	loadsDue       int         // loads that the last replica check asked for
	instances      []*instance // by ascending server id
	execTimes      samples
	delays         samples // time held here plus queueing delay on the server
	shed           samples // requests rejected for lack of slack
	held           int
	checkPending   bool   // is in Balancer.pendingChecks
	recentRequests int    // number of its requests among the most recently admitted
	heldSince      Micros // since when at least one request has been held
	blockedAt      Micros // when a request for it last found no instance
	ranking        ranking
	homes          homeSet
}

// instance is the set of a function's replicas that this router believes to be on one server.
type instance struct {
	server       *server
	replicas     int
	lastUsed     Micros // when they were last known to be used
	loading      int
	loadingSince Micros // when the load began
	inFlight     int    // attempts of this router there
}

// instanceOn returns the function's instance on a server. If there is none, it adds one if add is set, else it returns
// nil.
func (f *function) instanceOn(s *server, add bool) *instance {
	i, ok := slices.BinarySearchFunc(f.instances, s.Server,
		func(inst *instance, id ServerID) int { return cmp.Compare(inst.server.Server, id) })
	if !ok {
		if !add {
			return nil
		}
		f.instances = slices.Insert(f.instances, i, &instance{server: s})
		s.addFunction(f)
	}
	return f.instances[i]
}

// function returns the entry for the request's function, which it adds if needed, and records the request as its
// latest.
func (b *Balancer) function(req *Request) *function {
	f := b.functions[req.Function]
	if f == nil {
		f = &function{id: req.Function}
		b.functions[req.Function] = f
		b.functionOrder = append(b.functionOrder, f)
	}
	f.lanes, f.lastRequest = max(1, req.Lanes), req
	return f
}

// loaded reports whether an instance's replicas are believed to be loaded. Unused replicas count as unloaded after the
// configured keep-alive time.
func (b *Balancer) loaded(now Micros, inst *instance) bool {
	return inst.replicas > 0 && (inst.inFlight > 0 || now < inst.lastUsed+b.deployment.KeepAlive)
}

// loading reports whether replicas are believed to be loading. The end of a load may never be reported, so a load
// counts as lost after four times the usual load time.
func (b *Balancer) loading(now Micros, inst *instance) bool {
	return inst.loading > 0 && now < inst.loadingSince+4*b.loadTime(nil)
}
