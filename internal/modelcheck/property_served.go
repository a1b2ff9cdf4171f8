package modelcheck

import "fmt"

var served = Property{"served", "Where nothing goes wrong and no answer is late, every job is finished.", func(s *Config, w *State) string {
	if w.FaultCount > 0 || !s.FunctionLoaded || s.RecordedState != nil {
		return ""
	}
	for _, e := range w.Calls {
		if e.WriteDelayed || e.Progress.Ended && e.EndedAt-e.ChosenAt > s.LatencyObjective/4 || !e.Progress.Ended && w.Now-e.ChosenAt > s.LatencyObjective/4 {
			return ""
		}
	}
	for i, j := range w.Requests {
		if j.Answer.Given && j.AnswerKind != "finished" {
			return fmt.Sprintf("job %d is %s although a server could take it", i, j.AnswerKind)
		}
		if j.Arrived && !j.Answer.Given && w.Now > j.ArrivesAt+s.LatencyObjective {
			return fmt.Sprintf("job %d waits past its start target although a server could take it", i)
		}
	}
	return ""
}}
