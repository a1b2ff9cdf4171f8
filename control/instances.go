package control

import (
	"cmp"
	"slices"
)

// Functions and their instances, as believed.

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

// loaded tells whether the copies are believed loaded: the belief fades after the told least keep-alive.
func (r *Balancer) loaded(now Micros, in *instance) bool {
	return in.replicas > 0 && (in.inFlight > 0 || now < in.lastUsed+r.deployment.KeepAlive)
}

// loading tells whether copies are believed under way. Guards against a load that nobody ever reports: after
// four times the usual it is taken as lost.
func (r *Balancer) loading(now Micros, in *instance) bool {
	return in.loading > 0 && now < in.loadingSince+4*r.loadTime(nil)
}
