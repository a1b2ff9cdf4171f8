package modelcheck

import (
	"fmt"

	"hollymast/control"
)

var harmless = Property{"harmless", "A job is pushed back only if its client may ask again without harm.", func(s *Config, w *State) string {
	return w.executions(func(e *ServerCall, _ []*ServerCall) string {
		j := w.Requests[e.Request]
		if j.AnswerKind == "pushed back" && e.Ran && (s.effect(e.Request) == control.NonIdempotent || narrow(s, e.Request)) {
			return fmt.Sprintf("job %d is pushed back although execution %d ran", e.Request, e.Attempt)
		}
		return ""
	})
}}
