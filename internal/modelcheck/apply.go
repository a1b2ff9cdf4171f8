package modelcheck

import (
	"hollymast/control"
	"hollymast/internal/attempt"
)

// Apply returns the state after a step, which must be among its EnabledSteps.
func (s *State) Apply(c *Config, rules *Rules, step Step) (*State, error) {
	s = s.clone()
	i := int(step.Index)
	switch step.Kind {
	case TimeAdvances:
		s.advanceTime()
	case CallWritten:
		s.writeCall(rules, i, step.Outcome)
	case ServerDrains:
		s.FaultBudget.Drains--
		s.FaultCount++
		s.Servers[i].State, s.Servers[i].StateSince = control.Draining, s.Now
		s.publishEndpoint(i)
	case ServerRestarts:
		s.FaultBudget.Restarts--
		s.FaultCount++
		s.restartServer(i)
	case RouterStalls:
		s.FaultBudget.RouterStalls--
		s.FaultCount++
		s.stallRouter(c, i)
	case RouterResumes:
		s.Routers[i].Stalled = false
	default:
		return s, s.stepRouter(c, rules, step)
	}
	return s, nil
}

// advanceTime delays the writing of all calls that could have been written by now.
func (s *State) advanceTime() {
	s.Now = s.nextTime()
	for i := range s.Calls {
		call := &s.Calls[i]
		if call.Stage == attempt.Chosen && !call.Progress.Ended && !call.WriteDelayed && !s.Routers[call.Router].Stalled && !s.Requests[call.Request].Unexplored {
			call.WriteDelayed = true
			s.FaultBudget.DelayedWrites--
		}
	}
}

// restartServer breaks the connections of calls to a server; what ran has run.
func (s *State) restartServer(i int) {
	server := &s.Servers[i]
	server.Incarnation, server.StartedAt, server.Loaded = server.Incarnation+1, s.Now, false
	for j := range s.Calls {
		if call := &s.Calls[j]; call.Server == i && call.WrittenAt > 0 && !call.Progress.Ended {
			call.Outcome = ResetAfter
			if !call.Ran {
				call.Outcome = ResetBefore
			}
		}
	}
	s.publishEndpoint(i)
}

// stallRouter excuses its requests: nobody can promise them an answer in time.
func (s *State) stallRouter(c *Config, i int) {
	router := &s.Routers[i]
	router.Stalled = true
	if router.EndpointsAsOf == 0 {
		router.EndpointsAsOf = s.Now
	}
	for j := range s.Requests {
		if c.router(j) == i && !s.Requests[j].Answer.Decided {
			s.Requests[j].DeadlineExempt = true
		}
	}
}

// publishEndpoint sends a server's endpoint to all routers.
func (s *State) publishEndpoint(i int) {
	server := s.Servers[i]
	for router := range s.Routers {
		s.Updates = append(s.Updates, EndpointUpdate{Router: router, Server: i, State: server.State, StartedAt: server.StartedAt, SentAt: s.Now})
	}
}

// writeCall has a connection write what was chosen. What the server does with it is decided here: while the answer is on its way,
// nothing else could tell whether it was decided sooner.
func (s *State) writeCall(rules *Rules, i int, outcome CallOutcome) {
	call := &s.Calls[i]
	if outcome != Success {
		s.FaultBudget.CallFailures--
		s.FaultCount++
	}
	call.Outcome = outcome
	if outcome == ConnectFailure {
		call.Stage, call.WrittenAt = attempt.Writing, 0
		return
	}
	next, ok := rules.BeginWrite(call.Stage, true, s.Now, call.WriteDeadline)
	if !ok {
		call.Stage = attempt.Withdrawn
		return
	}
	server := &s.Servers[call.Server]
	call.Stage, call.WrittenAt, call.Incarnation = next, s.Now, server.Incarnation
	call.WrittenAfterAnswer = s.Requests[call.Request].Answer.Decided && call.Replicas == 0
	if outcome == Rejection || outcome == ResetBefore || outcome == Unresponsive {
		return
	}
	call.Ran = call.Replicas == 0
	if call.StartedLoad = !server.Loaded; call.StartedLoad {
		server.Loaded = true
	}
}
