package modelcheck

import (
	"slices"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/core"
)

// routerOf is the router that a step of its event loop belongs to.
func (s *State) routerOf(c *Config, step Step) int {
	i := int(step.Index)
	switch step.Kind {
	case RequestArrives, ClientCancels:
		return c.router(i)
	case CallEnds, CallTimesOut:
		return s.Calls[i].Router
	case UpdateArrives:
		return s.Updates[i].Router
	}
	return i
}

// stepRouter has something reach a router, which then takes a step of its event loop.
func (s *State) stepRouter(c *Config, rules *Rules, step Step) error {
	i, number := int(step.Index), s.routerOf(c, step)
	x := &executor{state: s, config: c, rules: rules, router: number}
	router, err := core.Restore(s.Routers[number].core, x)
	if err != nil {
		return err
	}
	if rules.WrapPolicy != nil {
		router.WrapPolicy(rules.WrapPolicy)
	}
	if step.Kind != UpdateArrives {
		s.readEndpoints(c, rules, router, number)
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
	case TimerFires: // the step is all
	}
	router.Step(s.Now)
	return s.storeRouter(number, router)
}

func (s *State) addRequest(c *Config, router *core.Core, i int) error {
	request := &s.Requests[i]
	request.Arrived = true
	return router.Add(s.Now, control.Request{ID: c.requestID(i), Class: control.ClassID(i % len(c.Effects)), Tenant: 1, Function: functionID, Lanes: 1,
		ArrivedAt: request.ArrivesAt, Deadline: request.Deadline - answerMargin})
}

// readEndpoints has a router that stalled apply all updates that were sent meanwhile, before anything else.
func (s *State) readEndpoints(c *Config, rules *Rules, router *core.Core, number int) {
	r := &s.Routers[number]
	if r.EndpointsAsOf == 0 || !rules.MustReadEndpoints(s.Now-r.EndpointsAsOf, drainGrace) {
		return
	}
	r.EndpointsAsOf = 0
	for i := 0; i < len(s.Updates); {
		if s.Updates[i].Router == number {
			s.applyUpdate(c, rules, router, i) // removes it
		} else {
			i++
		}
	}
}

// applyUpdate passes an update on, and withdraws what is not written yet to a server that takes nothing new.
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

// endCall takes in the end of a server call, as the gateway does.
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

// endLoad takes in the end of a load command; without an answer the number of replicas is not known.
func (s *State) endLoad(router *core.Core, x *executor, call *ServerCall) {
	replicas := -1
	if call.Result == control.Succeeded {
		replicas = call.Replicas
	}
	router.HandleLoadResult(s.Now, x.config.serverID(call.Server), functionID, call.Result, s.Now-call.ChosenAt, replicas)
}

// resultOf is what a router learns of a call that ends by a step.
func (e *ServerCall) resultOf(rules *Rules, step Step) control.Result {
	switch {
	case step.Kind == CallTimesOut && e.Stage == attempt.Chosen:
		return rules.UnconnectedResult(e.Stage, false)
	case step.Kind == CallTimesOut:
		return rules.InterruptedResult(true, attempt.DeadlineExceeded)
	case step.Outcome == Unresponsive:
		return rules.InterruptedResult(true, attempt.AbortedLocally)
	case e.Stage == attempt.Withdrawn:
		return control.NotSent
	case e.Outcome == ConnectFailure:
		return rules.UnconnectedResult(e.Stage, false)
	case e.Outcome == Rejection:
		return control.Overloaded
	case e.Outcome == ResetBefore || e.Outcome == ResetAfter:
		return rules.InterruptedResult(true, attempt.ClosedByPeer)
	}
	return control.Succeeded
}
