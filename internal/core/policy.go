package core

import (
	"errors"

	"hollymast/control"
)

// Policy makes the routing decisions. Services use control.Balancer; a simulation may use a baseline policy instead.
type Policy interface {
	UpdateEndpoints(now control.Micros, kind control.UpdateKind, list []control.Endpoint)
	Rank(now control.Micros, r *control.Request) control.Micros
	Route(now control.Micros, r *control.Request) control.Decision
	HandleOutcome(now control.Micros, r *control.Request, o control.Outcome) control.Decision
	Cancel(now control.Micros, r *control.Request)
	HandleLoadResult(now control.Micros, s control.ServerID, f control.FunctionID, result control.Result,
		took control.Micros, replicas int)
	Maintain(now control.Micros) control.Maintenance
}

// PolicyWrapper is a Policy that wraps the balancer. The model checker uses it to inject wrong decisions.
type PolicyWrapper interface {
	Policy
	Inner() *control.Balancer
}

// WrapPolicy replaces the balancer with a policy that wraps it. It does nothing if the policy is a baseline.
func (c *Core) WrapPolicy(wrap func(*control.Balancer) Policy) {
	if b := c.balancer(); b != nil {
		c.policy = wrap(b)
	}
}

// balancer returns the balancer, wrapped or not, or nil if the policy is a baseline.
func (c *Core) balancer() *control.Balancer {
	switch p := c.policy.(type) {
	case *control.Balancer:
		return p
	case PolicyWrapper:
		return p.Inner()
	}
	return nil
}

// SetTrace makes the balancer report its decisions to trace, with their reasons. It returns an error if the policy is a
// baseline or wraps the balancer.
func (c *Core) SetTrace(trace *control.Trace) error {
	balancer, ok := c.policy.(*control.Balancer)
	if !ok {
		return errors.New("the policy does not support tracing")
	}
	balancer.SetTrace(trace)
	return nil
}

// LearnedState returns what the balancer has learned, or nil if the policy is a baseline or wraps the balancer. It may be
// called between steps.
func (c *Core) LearnedState(now control.Micros) *control.LearnedState {
	b, ok := c.policy.(*control.Balancer)
	if !ok {
		return nil
	}
	return b.LearnedState(now)
}

// SlowStartStatus returns the balancer's estimates for a server in slow start; ok is false if the server is not in slow
// start or the policy is a baseline.
func (c *Core) SlowStartStatus(now control.Micros, id control.ServerID) (status control.SlowStartStatus, ok bool) {
	if b := c.balancer(); b != nil {
		return b.SlowStartStatus(now, id)
	}
	return control.SlowStartStatus{}, false
}

// Throughput returns the balancer's throughput estimates, or zero values if the policy is a baseline.
func (c *Core) Throughput() control.Throughput {
	if b := c.balancer(); b != nil {
		return b.Throughput()
	}
	return control.Throughput{}
}

// EjectedServers returns the servers that the balancer has ejected, or nil if the policy is a baseline or wraps the
// balancer.
func (c *Core) EjectedServers() map[control.ServerID]bool {
	if b, ok := c.policy.(*control.Balancer); ok {
		return b.EjectedServers()
	}
	return nil
}
