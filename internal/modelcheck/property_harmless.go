package modelcheck

import (
	"fmt"

	"hollymast/control"
)

var harmless = Property{"harmless", "A job is pushed back only if its client may ask again without harm.", func(s *Setup, w *World) string {
	return w.executions(func(e *Exchange, _ []*Exchange) string {
		j := w.Jobs[e.Job]
		if j.Word == "pushed back" && e.Ran && (s.effect(e.Job) == control.NonIdempotent || narrow(s, e.Job)) {
			return fmt.Sprintf("job %d is pushed back although execution %d ran", e.Job, e.No)
		}
		return ""
	})
}}
