package modelcheck

import (
	"slices"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/core"
)

// routerOf returns the router whose event loop handles a step.
func (s *State) routerOf(c *Config, step Step) int {
	i := int(step.Index)
	switch step.Kind {
	case RequestArrives, ClientCancels:
		return c.routerIndex(i)
	case CallEnds, CallTimesOut:
		return s.Calls[i].Router
	case UpdateArrives:
		return s.Updates[i].Router
	}
	return i
}

// stepRouter delivers an event to a router, followed by a step of its event loop.
func (s *State) stepRouter(c *Config, rules *Rules, step Step) error {
	i, routerIndex := int(step.Index), s.routerOf(c, step)
	x := &executor{state: s, config: c, rules: rules, router: routerIndex}
	router, err := core.Restore(s.Routers[routerIndex].core, x)
	if err != nil {
		return err
	}
	if rules.WrapPolicy != nil {
		router.WrapPolicy(rules.WrapPolicy)
	}
	if step.Kind != UpdateArrives {
		s.readEndpoints(c, rules, router, routerIndex)
	}
	switch step.Kind {
	case RequestArrives:
		if err := s.addRequest(c, router, i); err != nil {
			return err
		}
	case ClientCancels:
		s.FaultBudget.ClientCancels--
		s.FaultCount++
		s.Requests[i].Cancelled = true
		router.Cancel(s.Now, c.requestID(i))
		x.giveAnswer(i, answerCancelled)
	case CallEnds, CallTimesOut:
		s.endCall(router, x, step)
	case UpdateArrives:
		s.applyUpdate(c, rules, router, i)
	case TimerFires: // nothing but the step of the event loop
	}
	router.Step(s.Now)
	return s.storeRouter(routerIndex, router)
}

// addRequest hands an arriving request to its router's core.
func (s *State) addRequest(c *Config, router *core.Core, i int) error {
	request := &s.Requests[i]
	request.Arrived = true
	return router.Add(s.Now, control.Request{ID: c.requestID(i), Class: control.ClassID(i % len(c.Effects)), Tenant: 1, Function: functionID, Lanes: 1,
		ArrivedAt: request.ArrivesAt, Deadline: request.Deadline - answerMargin})
}

// readEndpoints makes a router apply all pending endpoint updates before it handles anything else, if it has stalled for
// so long that the rules require it.
func (s *State) readEndpoints(c *Config, rules *Rules, router *core.Core, routerIndex int) {
	r := &s.Routers[routerIndex]
	if r.EndpointsAsOf == 0 || !rules.MustReadEndpoints(s.Now-r.EndpointsAsOf, drainGrace) {
		return
	}
	r.EndpointsAsOf = 0
	for i := 0; i < len(s.Updates); {
		if s.Updates[i].Router == routerIndex {
			s.applyUpdate(c, rules, router, i) // removes the update
		} else {
			i++
		}
	}
}

// applyUpdate passes an update to the router's core. Unless the server is ready, it withdraws the router's calls to it
// that are not written yet.
func (s *State) applyUpdate(c *Config, rules *Rules, router *core.Core, i int) {
	update := s.Updates[i]
	s.Updates = slices.Delete(s.Updates, i, i+1)
	router.UpdateEndpoints(s.Now, control.IncrementalUpdate, []control.Endpoint{c.endpoint(update.Server, update.State, update.StartedAt)})
	if update.State == control.Ready {
		return
	}
	for j := range s.Calls {
		if call := &s.Calls[j]; call.Router == update.Router && call.Server == update.Server {
			if next, ok := rules.Withdraw(call.Stage); ok {
				call.Stage = next
			}
		}
	}
}

// endCall handles the end of a server call as the gateway does.
func (s *State) endCall(router *core.Core, x *executor, step Step) {
	call := &s.Calls[step.Index]
	call.Result, call.EndedAt = call.resultOf(x.rules, step), s.Now
	call.Progress.End()
	if call.Replicas > 0 {
		s.endLoad(router, x, call)
		return
	}
	id, answer := x.config.requestID(call.Request), &s.Requests[call.Request].Answer
	outcome := control.Outcome{Attempt: control.AttemptID(call.Attempt), Server: x.config.serverID(call.Server), Result: call.Result, Duration: s.Now - call.ChosenAt}
	if call.Result == control.Succeeded {
		outcome.CacheStatus = control.CacheHit
		if call.StartedLoad {
			outcome.CacheStatus = control.CacheMiss
		}
	}
	if x.rules.AttemptEnded(answer, call.Result) == attempt.Deliver {
		outcome.RequestDone = true
		router.HandleOutcome(s.Now, id, outcome)
		x.giveAnswer(call.Request, answerSucceeded)
		return
	}
	router.HandleOutcome(s.Now, id, outcome)
}

// endLoad handles the end of a load command. Unless the command succeeded, the number of replicas is unknown (-1).
func (s *State) endLoad(router *core.Core, x *executor, call *ServerCall) {
	replicas := -1
	if call.Result == control.Succeeded {
		replicas = call.Replicas
	}
	router.HandleLoadResult(s.Now, x.config.serverID(call.Server), functionID, call.Result, s.Now-call.ChosenAt, replicas)
}

// resultOf returns the result that a router sees when a step ends the call.
func (call *ServerCall) resultOf(rules *Rules, step Step) control.Result {
	switch {
	case step.Kind == CallTimesOut && call.Stage == attempt.Chosen:
		return rules.UnconnectedResult(call.Stage, false)
	case step.Kind == CallTimesOut:
		return rules.InterruptedResult(true, attempt.DeadlineExceeded)
	case step.Outcome == Unresponsive:
		return rules.InterruptedResult(true, attempt.AbortedLocally)
	case call.Stage == attempt.Withdrawn:
		return control.NotSent
	case call.Outcome == ConnectFailure:
		return rules.UnconnectedResult(call.Stage, false)
	case call.Outcome == Rejection:
		return control.Overloaded
	case call.Outcome == ResetBefore || call.Outcome == ResetAfter:
		return rules.InterruptedResult(true, attempt.ClosedByPeer)
	}
	return control.Succeeded
}
