package modelcheck

import "fmt"

var fewExecutions = Property{"few", "A job has three executions at most.", func(_ *Config, w *State) string {
	return w.executions(func(e *ServerCall, before []*ServerCall) string {
		if len(before) >= 3 {
			return fmt.Sprintf("job %d has execution %d", e.Request, e.Attempt)
		}
		return ""
	})
}}
