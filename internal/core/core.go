// Package core tracks the requests in flight of one router and runs its event loop. A Policy, usually the balancer,
// makes all decisions; an Executor carries them out, through the simulator adapter's frames or the gateway's sockets.
//
// One iteration of the event loop is a step. It first handles the events since the previous step (UpdateEndpoints, Add,
// HandleOutcome, Cancel, HandleLoadResult). Step then runs maintenance if it is due, asks the policy about each held
// request by ascending rank, and sets the timer. All calls of a step get the same time, so its decisions depend only on
// its events, that time and the seed.
package core

import (
	"cmp"
	"fmt"
	"slices"

	"hollymast/control"
)

// Core tracks the requests in flight of one router and consults its Policy about them. It is not safe for concurrent use.
type Core struct {
	policy        Policy
	executor      Executor
	recorder      Recorder // nil if nothing is recorded
	requests      map[control.RequestID]*request
	held          []*request
	spareHeld     []*request     // backing array for the next held, so that a step allocates nothing
	maintenanceAt control.Micros // when the next maintenance is due
	timerAt       control.Micros // earliest requested timer that has not fired; 0 if none
}

// request is a request that has no final response yet or still has attempts in flight.
type request struct {
	req       control.Request
	rank      control.Micros
	recheckAt control.Micros
	held      bool
	done      bool
	inFlight  int // attempts without an outcome
}

// New returns a core with no request in flight.
func New(policy Policy, executor Executor) *Core {
	return &Core{policy: policy, executor: executor, requests: map[control.RequestID]*request{}}
}

// Requests returns the number of requests in flight, including those that have their final response but still have
// attempts in flight.
func (c *Core) Requests() int { return len(c.requests) }

// Held returns the number of requests that wait for a server, including new ones that Step has not routed yet.
func (c *Core) Held() int { return len(c.held) }

// UpdateEndpoints passes the endpoint list, or changes to it, to the policy.
func (c *Core) UpdateEndpoints(now control.Micros, kind control.UpdateKind, list []control.Endpoint) {
	if c.recorder != nil {
		c.recorder.EndpointsUpdated(kind, list)
	}
	c.policy.UpdateEndpoints(now, kind, list)
}

// HandleLoadResult passes the result of a load command to the policy.
func (c *Core) HandleLoadResult(now control.Micros, s control.ServerID, f control.FunctionID, result control.Result,
	took control.Micros, replicas int) {
	if c.recorder != nil {
		c.recorder.LoadEnded(s, f, result, took, replicas)
	}
	c.policy.HandleLoadResult(now, s, f, result, took, replicas)
}

// Add registers a request, which the next Step routes. It returns an error if a request with the same ID is in flight.
func (c *Core) Add(now control.Micros, req control.Request) error {
	if c.requests[req.ID] != nil {
		return fmt.Errorf("request %d is already in flight", req.ID)
	}
	if c.recorder != nil {
		c.recorder.RequestAdded(req)
	}
	r := &request{req: req}
	r.rank = c.policy.Rank(now, &r.req)
	c.requests[req.ID] = r
	c.hold(r)
	return nil
}

// HandleOutcome reports the end of an attempt to the policy and carries out its decision. The caller sets o.RequestDone
// if the outcome itself gave the client its final response. Outcomes of requests or attempts that are not in flight are
// ignored. It returns true if the request had no final response before the call.
func (c *Core) HandleOutcome(now control.Micros, id control.RequestID, o control.Outcome) bool {
	if c.recorder != nil {
		c.recorder.AttemptEnded(id, o)
	}
	r := c.requests[id]
	if r == nil || int(o.Attempt) >= len(r.req.Attempts) || r.req.Attempts[o.Attempt].Done {
		return false
	}
	wasOpen := !r.done
	r.inFlight--
	o.RequestDone = o.RequestDone || r.done
	d := c.policy.HandleOutcome(now, &r.req, o)
	if o.RequestDone {
		c.finish(r)
	} else {
		c.execute(r, d)
	}
	return wasOpen
}

// Cancel ends a request whose client no longer waits for it.
func (c *Core) Cancel(now control.Micros, id control.RequestID) {
	if c.recorder != nil {
		c.recorder.RequestCancelled(id)
	}
	if r := c.requests[id]; r != nil && !r.done {
		c.policy.Cancel(now, &r.req)
		c.finish(r)
	}
}

// Step completes a step: it runs maintenance if it is due, routes the held requests and sets the timer.
func (c *Core) Step(now control.Micros) {
	if now >= c.maintenanceAt {
		c.maintain(now)
	}
	c.routeHeld(now)
	c.setTimer(now)
	if c.recorder != nil {
		c.recorder.StepEnded(now)
	}
}

// maintain runs the policy's maintenance and carries out the actions that it returns.
func (c *Core) maintain(now control.Micros) {
	maintenance := c.policy.Maintain(now)
	c.maintenanceAt = maintenance.Next
	for _, cancel := range maintenance.Cancellations {
		c.executor.CancelAttempt(cancel.Request, cancel.Attempt)
	}
	if maintenance.SubscribeEndpoints {
		c.executor.SubscribeEndpoints()
	}
	for _, event := range maintenance.ServerEvents {
		c.executor.LogServerEvent(event)
	}
}

// routeHeld asks the policy about each held request, by ascending rank.
func (c *Core) routeHeld(now control.Micros) {
	slices.SortStableFunc(c.held, func(a, b *request) int { return cmp.Compare(a.rank, b.rank) })
	held := c.held
	c.held = c.spareHeld[:0]
	for _, r := range held {
		if r.held = false; !r.done {
			c.execute(r, c.policy.Route(now, &r.req))
		}
	}
	clear(held)
	c.spareHeld = held[:0]
}

// setTimer requests a step at the next maintenance or recheck, unless a timer is already set for that time or earlier.
func (c *Core) setTimer(now control.Micros) {
	wake := c.maintenanceAt
	for _, r := range c.held {
		wake = min(wake, r.recheckAt)
	}
	wake = max(wake, now+1)
	if c.timerAt <= now || wake < c.timerAt {
		c.timerAt = wake
		c.executor.SetTimer(wake)
	}
}

// execute carries out the decision on a request.
func (c *Core) execute(r *request, d control.Decision) {
	for _, command := range d.LoadCommands {
		c.executor.Load(&r.req, command)
	}
	switch d.Action {
	case control.Forward:
		r.inFlight++
		c.executor.Forward(&r.req, control.AttemptID(len(r.req.Attempts)-1), d.Server, d.Timeout)
	case control.Hold:
		r.rank, r.recheckAt = d.Rank, d.RecheckAt
		c.hold(r)
	case control.Reject:
		c.executor.Reject(r.req.ID, d.RetryAfter, d.Reason())
		c.finish(r)
	case control.Fail:
		c.executor.Fail(r.req.ID, d.Reason())
		c.finish(r)
	}
}

func (c *Core) hold(r *request) {
	if !r.held {
		r.held = true
		c.held = append(c.held, r)
	}
}

// finish marks a request as done. It is kept until the last of its attempts has ended.
func (c *Core) finish(r *request) {
	r.done = true
	if r.inFlight == 0 {
		delete(c.requests, r.req.ID)
	}
}
