package modelcheck

import (
	"cmp"
	"slices"

	"hollymast/control"
	"hollymast/internal/attempt"
)

// StepKind is the kind of event that a step consists of.
type StepKind uint8

// The kinds of steps. A step is atomic and concerns one router, server, client or connection. The numbers are stored in
// traces.
const (
	RequestArrives StepKind = iota // a request arrives at its router
	CallWritten                    // a connection writes a chosen call, which also determines the call's outcome
	CallEnds                       // the router learns that a server call has ended
	CallTimesOut                   // a server call's deadline passes
	TimerFires                     // a router's timer fires
	UpdateArrives                  // a router receives a change of the endpoint list
	TimeAdvances                   // the clock advances to the next time at which something can change
	ServerDrains                   // a server begins to drain
	ServerRestarts                 // a server crashes and restarts without loaded functions
	ClientCancels                  // a client cancels its request
	RouterStalls                   // a router stalls
	RouterResumes                  // a stalled router resumes
)

// Step is a transition from one state to another. The tags are the names in stored data.
type Step struct {
	Kind    StepKind    `json:"Kind"`
	Index   int16       `json:"Of"`  // of the request, call, router, update or server that the kind concerns
	Outcome CallOutcome `json:"Way"` // of CallWritten; of CallEnds, Unresponsive if the router aborted the call
}

// less orders steps. It makes the choice between several steps to the same state independent of the number of workers.
func (s Step) less(o Step) bool {
	return cmp.Or(cmp.Compare(s.Kind, o.Kind), cmp.Compare(s.Index, o.Index), cmp.Compare(s.Outcome, o.Outcome)) < 0
}

// stepList collects the enabled steps of a state.
type stepList struct {
	steps  []Step
	dueNow bool // one of the steps must be taken before time advances
}

func (l *stepList) add(kind StepKind, index int) { l.addOutcome(kind, index, Success) }

func (l *stepList) addOutcome(kind StepKind, index int, outcome CallOutcome) {
	l.steps = append(l.steps, Step{Kind: kind, Index: int16(index), Outcome: outcome})
}

// EnabledSteps returns all steps that are possible in s, including faults within their budgets, in a fixed order.
func (s *State) EnabledSteps(c *Config) []Step {
	l := &stepList{}
	s.addRequestSteps(c, l)
	s.addCallSteps(c, l)
	s.addUpdateSteps(l)
	s.addRouterSteps(l)
	s.addServerSteps(l)
	if !l.dueNow && s.nextTime() > 0 {
		l.add(TimeAdvances, 0)
	}
	return l.steps
}

func (s *State) addRequestSteps(c *Config, l *stepList) {
	for i, request := range s.Requests {
		if request.Unexplored || s.Routers[c.routerIndex(i)].Stalled {
			continue
		}
		switch {
		case !request.Arrived && s.Now >= request.ArrivesAt:
			l.add(RequestArrives, i)
			l.dueNow = true
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
			l.dueNow = true
		default:
			if call.Outcome != AnswerLost && call.Outcome != Unresponsive {
				l.add(CallEnds, i)
			}
			if call.Progress.Cancelled { // the abort may race with a response that is already on its way
				l.addOutcome(CallEnds, i, Unresponsive)
			}
			s.addTimeout(l, i)
		}
	}
}

// addWriteSteps adds the steps of a chosen call: it is written, with any outcome that the config allows, or it times out
// before a connection is established.
func (s *State) addWriteSteps(c *Config, l *stepList, i int) {
	l.add(CallWritten, i)
	if s.FaultBudget.CallFailures > 0 {
		for outcome := ConnectFailure; outcome <= Unresponsive; outcome++ {
			if len(c.FailureModes) == 0 || slices.Contains(c.FailureModes, outcomeNames[outcome]) {
				l.addOutcome(CallWritten, i, outcome)
			}
		}
	}
	l.dueNow = l.dueNow || !s.Calls[i].WriteDelayed && s.FaultBudget.DelayedWrites == 0
	s.addTimeout(l, i)
}

func (s *State) addTimeout(l *stepList, i int) {
	if s.Now >= s.Calls[i].Deadline {
		l.add(CallTimesOut, i)
		l.dueNow = true
	}
}

// addUpdateSteps adds the arrival of the oldest update for each router: a router receives updates in order.
func (s *State) addUpdateSteps(l *stepList) {
	for i, update := range s.Updates {
		overtakes := slices.ContainsFunc(s.Updates[:i], func(u EndpointUpdate) bool { return u.Router == update.Router })
		if !s.Routers[update.Router].Stalled && !overtakes {
			l.add(UpdateArrives, i)
			l.dueNow = l.dueNow || s.Now >= update.SentAt+updateDelay
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
			l.dueNow = true
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
