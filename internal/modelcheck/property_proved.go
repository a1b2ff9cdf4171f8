package modelcheck

import "fmt"

var proved = Property{"proved", "What a router takes for proved not to have run did not run.", func(_ *Setup, w *World) string {
	return w.executions(func(e *Exchange, _ []*Exchange) string {
		if e.unrun() && e.Ran {
			return fmt.Sprintf("execution %d of job %d ran, and its end is taken for a proof that it did not", e.No, e.Job)
		}
		return ""
	})
}}
