package modelcheck

import "fmt"

var fewExecutions = Property{"few", "A job has three executions at most.", func(_ *Setup, w *World) string {
	return w.executions(func(e *Exchange, before []*Exchange) string {
		if len(before) >= 3 {
			return fmt.Sprintf("job %d has execution %d", e.Job, e.No)
		}
		return ""
	})
}}
