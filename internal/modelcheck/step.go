package modelcheck

import (
	"cmp"
	"slices"

	"hollymast/control"
	"hollymast/internal/attempt"
)

// StepKind is what happens in a step.
type StepKind uint8

// The kinds. Each is one thing that one party does; between two steps nothing is in progress. Their numbers are stored in traces.
const (
	RequestArrives StepKind = iota // at its router
	CallWritten                    // a connection writes what was chosen, and what becomes of it is decided
	CallEnds                       // the end of a server call reaches its router
	CallTimesOut                   // a server call's deadline passes
	TimerFires                     // a router's
	UpdateArrives                  // a change of the endpoint list reaches a router
	TimeAdvances                   // to the next moment at which something can be different
	ServerDrains                   // a server begins to drain
	ServerRestarts                 // a server crashes and comes back empty
	ClientCancels                  // a client cancels its request
	RouterStalls                   // a router stalls
	RouterResumes                  // and goes on
)

// Step is one of the things that can happen in a state. Its stored form keeps earlier names.
type Step struct {
	Kind    StepKind    `json:"Kind"`
	Index   int16       `json:"Of"`  // of a request, call, router, update or server, by the kind
	Outcome CallOutcome `json:"Way"` // of CallWritten; of CallEnds Unresponsive: it was broken off
}

// less orders steps; which of several steps to a state an exploration keeps must not depend on its workers.
func (s Step) less(o Step) bool {
	return cmp.Or(cmp.Compare(s.Kind, o.Kind), cmp.Compare(s.Index, o.Index), cmp.Compare(s.Outcome, o.Outcome)) < 0
}

// stepList collects the steps that can happen in a state.
type stepList struct {
	steps  []Step
	urgent bool // one of them happens before time advances
}

func (l *stepList) add(kind StepKind, index int) { l.addOutcome(kind, index, Success) }

func (l *stepList) addOutcome(kind StepKind, index int, outcome CallOutcome) {
	l.steps = append(l.steps, Step{Kind: kind, Index: int16(index), Outcome: outcome})
}

// EnabledSteps returns all that can happen, in a fixed order, faults within their budgets among them.
func (s *State) EnabledSteps(c *Config) []Step {
	l := &stepList{}
	s.addRequestSteps(c, l)
	s.addCallSteps(c, l)
	s.addUpdateSteps(l)
	s.addRouterSteps(l)
	s.addServerSteps(l)
	if !l.urgent && s.nextTime() > 0 {
		l.add(TimeAdvances, 0)
	}
	return l.steps
}

func (s *State) addRequestSteps(c *Config, l *stepList) {
	for i, request := range s.Requests {
		if request.Unexplored || s.Routers[c.router(i)].Stalled {
			continue
		}
		switch {
		case !request.Arrived && s.Now >= request.ArrivesAt:
			l.add(RequestArrives, i)
			l.urgent = true
		case request.Arrived && !request.Answer.Decided && !request.Cancelled && s.FaultBudget.ClientCancels > 0:
			l.add(ClientCancels, i)
		}
	}
}

func (s *State) addCallSteps(c *Config, l *stepList) {
	for i := range s.Calls {
		call := &s.Calls[i]
		if call.Progress.Ended || s.Routers[call.Router].Stalled || s.Requests[call.Request].Unexplored {
			continue
		}
		switch call.Stage {
		case attempt.Chosen:
			s.addWriteSteps(c, l, i)
		case attempt.Withdrawn:
			l.add(CallEnds, i)
			l.urgent = true
		default:
			if call.Outcome != AnswerLost && call.Outcome != Unresponsive {
				l.add(CallEnds, i)
			}
			if call.Progress.Cancelled { // broken off; an answer that came before may be on its way all the same
				l.addOutcome(CallEnds, i, Unresponsive)
			}
			s.addTimeout(l, i)
		}
	}
}

// addWriteSteps adds what can become of a call that is chosen: it is written, or no connection came about in its time.
func (s *State) addWriteSteps(c *Config, l *stepList, i int) {
	l.add(CallWritten, i)
	if s.FaultBudget.CallFailures > 0 {
		for outcome := ConnectFailure; outcome <= Unresponsive; outcome++ {
			if len(c.FailureModes) == 0 || slices.Contains(c.FailureModes, outcomeNames[outcome]) {
				l.addOutcome(CallWritten, i, outcome)
			}
		}
	}
	l.urgent = l.urgent || !s.Calls[i].WriteDelayed && s.FaultBudget.DelayedWrites == 0
	s.addTimeout(l, i)
}

func (s *State) addTimeout(l *stepList, i int) {
	if s.Now >= s.Calls[i].Deadline {
		l.add(CallTimesOut, i)
		l.urgent = true
	}
}

// addUpdateSteps adds the first update on its way to each router: updates come in order.
func (s *State) addUpdateSteps(l *stepList) {
	for i, update := range s.Updates {
		overtakes := slices.ContainsFunc(s.Updates[:i], func(u EndpointUpdate) bool { return u.Router == update.Router })
		if !s.Routers[update.Router].Stalled && !overtakes {
			l.add(UpdateArrives, i)
			l.urgent = l.urgent || s.Now >= update.SentAt+updateDelay
		}
	}
}

func (s *State) addRouterSteps(l *stepList) {
	for i, router := range s.Routers {
		switch {
		case router.Stalled:
			l.add(RouterResumes, i)
		case s.Now >= router.TimerAt:
			l.add(TimerFires, i)
			l.urgent = true
		}
		if !router.Stalled && s.FaultBudget.RouterStalls > 0 {
			l.add(RouterStalls, i)
		}
	}
}

func (s *State) addServerSteps(l *stepList) {
	for i, server := range s.Servers {
		if server.State == control.Ready && s.FaultBudget.Drains > 0 {
			l.add(ServerDrains, i)
		}
		if server.State == control.Ready && s.FaultBudget.Restarts > 0 {
			l.add(ServerRestarts, i)
		}
	}
}
