package modelcheck

import "fmt"

var oneAtATime = Property{"one-at-a-time", "No execution of a job is chosen while another's end is not known.", func(_ *Config, w *State) string {
	return w.executions(func(e *ServerCall, before []*ServerCall) string {
		for _, b := range before {
			if !b.Progress.Ended || b.EndedAt > e.ChosenAt {
				return fmt.Sprintf("execution %d of job %d is chosen while %d is out", e.Attempt, e.Request, b.Attempt)
			}
		}
		return ""
	})
}}
