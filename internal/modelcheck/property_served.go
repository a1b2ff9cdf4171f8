package modelcheck

import "fmt"

var served = Property{
	Name:        "served",
	Description: "Where nothing goes wrong and no answer is late, every request succeeds.",
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
		if request.Answer.Decided && request.AnswerKind != answerSucceeded {
			return fmt.Sprintf("request %d is %s although a server could take it", i, answerTexts[request.AnswerKind])
		}
		if request.Arrived && !request.Answer.Decided && s.Now > request.ArrivesAt+c.LatencyObjective {
			return fmt.Sprintf("request %d waits past its latency objective although a server could take it", i)
		}
	}
	return ""
}
