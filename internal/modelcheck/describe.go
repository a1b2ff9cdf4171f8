package modelcheck

import (
	"fmt"

	"hollymast/control"
)

const microsPerSecond = 1e6

// Describe formats an enabled step of this state as one line of a trace.
func (s *State) Describe(c *Config, step Step) string {
	start := epoch
	if c.RecordedState != nil {
		start = c.RecordedState.Now
	}
	return fmt.Sprintf("%7.3f s  %s", float64(s.Now-start)/microsPerSecond, s.describeStep(c, step))
}

func (s *State) describeStep(c *Config, step Step) string {
	i := int(step.Index)
	switch step.Kind {
	case RequestArrives:
		return fmt.Sprintf("request %d (%s) arrives at router %d", i, effectNames[c.effect(i)], c.routerIndex(i))
	case CallWritten:
		return s.describeWrite(i, step.Outcome)
	case CallEnds:
		if step.Outcome == Unresponsive {
			return s.describeCall(i) + " is cancelled"
		}
		return "the end of " + s.describeCall(i) + " reaches its router"
	case CallTimesOut:
		return s.describeCall(i) + " times out"
	case TimerFires:
		if s.Routers[i].EndpointsAsOf > 0 {
			return fmt.Sprintf("router %d takes its first step after its stall", i)
		}
		return fmt.Sprintf("the timer of router %d fires", i)
	case UpdateArrives:
		update := s.Updates[i]
		return fmt.Sprintf("router %d receives the update that server %d %s", update.Router, update.Server, updateTexts[update.State])
	case TimeAdvances:
		return fmt.Sprintf("time advances by %d us", s.nextTime()-s.Now)
	case ServerDrains:
		return fmt.Sprintf("server %d begins to drain", i)
	case ServerRestarts:
		return fmt.Sprintf("server %d crashes and restarts without loaded functions", i)
	case ClientCancels:
		return fmt.Sprintf("the client of request %d cancels it", i)
	case RouterStalls:
		return fmt.Sprintf("router %d stalls", i)
	case RouterResumes:
		return fmt.Sprintf("router %d resumes; pending events reach it in any order", i)
	}
	return ""
}

// updateTexts complete the description of an endpoint update by the server's new state.
var updateTexts = map[control.ServerState]string{control.Ready: "has restarted", control.Draining: "drains"}

// outcomeTexts describe the outcome of a written call, by CallOutcome.
var outcomeTexts = [...]string{"it runs and a response is sent", "the connection attempt fails", "the server rejects it",
	"the connection is reset before it runs", "it runs, then the connection is reset", "it runs, but its response is lost",
	"the server accepts it but neither runs it nor responds"}

func (s *State) describeWrite(i int, outcome CallOutcome) string {
	call := s.Calls[i]
	text := s.describeCall(i) + " is written: " + outcomeTexts[outcome]
	if call.Replicas == 0 && outcome == Success && !s.Servers[call.Server].Loaded {
		text += " (this starts a load)"
	}
	return text
}

func (s *State) describeCall(i int) string {
	call := s.Calls[i]
	if call.Replicas > 0 {
		return fmt.Sprintf("the load command of router %d to server %d", call.Router, call.Server)
	}
	return fmt.Sprintf("attempt %d of request %d, by router %d at server %d", call.Attempt, call.Request, call.Router, call.Server)
}
