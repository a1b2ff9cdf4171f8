package modelcheck

import "fmt"

var nothingAfter = Property{"nothing-after", "Nothing is written for a job that has its answer.", func(_ *Setup, w *World) string {
	return w.executions(func(e *Exchange, _ []*Exchange) string {
		if j := w.Jobs[e.Job]; j.State.Given && e.Written > 0 && e.After {
			return fmt.Sprintf("execution %d of job %d is written after the job was %s", e.No, e.Job, j.Word)
		}
		return ""
	})
}}
