package modelcheck

import "fmt"

var nothingAfter = Property{"nothing-after", "Nothing is written for a job that has its answer.", func(_ *Config, w *State) string {
	return w.executions(func(e *ServerCall, _ []*ServerCall) string {
		if j := w.Requests[e.Request]; j.Answer.Given && e.WrittenAt > 0 && e.WrittenAfterAnswer {
			return fmt.Sprintf("execution %d of job %d is written after the job was %s", e.Attempt, e.Request, j.AnswerKind)
		}
		return ""
	})
}}
