package modelcheck

import "fmt"

var oneAtATime = Property{"one-at-a-time", "No execution of a job is chosen while another's end is not known.", func(_ *Setup, w *World) string {
	return w.executions(func(e *Exchange, before []*Exchange) string {
		for _, b := range before {
			if !b.State.Ended || b.Ended > e.Chosen {
				return fmt.Sprintf("execution %d of job %d is chosen while %d is out", e.No, e.Job, b.No)
			}
		}
		return ""
	})
}}
