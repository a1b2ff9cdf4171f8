package modelcheck

import "fmt"

var served = Property{
	Name:        "served",
	Description: "Where nothing goes wrong and no answer is late, every job is finished.",
	Check:       checkServed,
}

func checkServed(c *Config, s *State) string {
	if s.FaultCount > 0 || !c.FunctionLoaded || c.RecordedState != nil {
		return ""
	}
	for _, call := range s.Calls {
		if call.WriteDelayed || call.Progress.Ended && call.EndedAt-call.ChosenAt > c.LatencyObjective/4 || !call.Progress.Ended && s.Now-call.ChosenAt > c.LatencyObjective/4 {
			return ""
		}
	}
	for i, request := range s.Requests {
		if request.Answer.Given && request.AnswerKind != "finished" {
			return fmt.Sprintf("job %d is %s although a server could take it", i, request.AnswerKind)
		}
		if request.Arrived && !request.Answer.Given && s.Now > request.ArrivesAt+c.LatencyObjective {
			return fmt.Sprintf("job %d waits past its start target although a server could take it", i)
		}
	}
	return ""
}
