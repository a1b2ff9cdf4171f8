package modelcheck

import "fmt"

var proved = Property{"proved", "What a router takes for proved not to have run did not run.", func(_ *Config, w *State) string {
	return w.executions(func(e *ServerCall, _ []*ServerCall) string {
		if e.unrun() && e.Ran {
			return fmt.Sprintf("execution %d of job %d ran, and its end is taken for a proof that it did not", e.Attempt, e.Request)
		}
		return ""
	})
}}
