package modelcheck

import "fmt"

var served = Property{"served", "Where nothing goes wrong and no answer is late, every job is finished.", func(s *Setup, w *World) string {
	if w.Wrong > 0 || !s.Warm || s.Moment != nil {
		return ""
	}
	for _, e := range w.Exchanges {
		if e.Stalled || e.State.Ended && e.Ended-e.Chosen > s.Target/4 || !e.State.Ended && w.Now-e.Chosen > s.Target/4 {
			return ""
		}
	}
	for i, j := range w.Jobs {
		if j.State.Given && j.Word != "finished" {
			return fmt.Sprintf("job %d is %s although a server could take it", i, j.Word)
		}
		if j.Arrived && !j.State.Given && w.Now > j.At+s.Target {
			return fmt.Sprintf("job %d waits past its start target although a server could take it", i)
		}
	}
	return ""
}}
