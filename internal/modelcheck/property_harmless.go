package modelcheck

import (
	"fmt"

	"hollymast/control"
)

var safeRejection = Property{
	Name:        "harmless",
	Description: "A job is pushed back only if its client may ask again without harm.",
	Check:       checkSafeRejection,
}

func checkSafeRejection(c *Config, s *State) string {
	return s.findAttempt(func(call *ServerCall, _ []*ServerCall) string {
		request := s.Requests[call.Request]
		if request.AnswerKind == "pushed back" && call.Ran && (c.effect(call.Request) == control.NonIdempotent || isDedupScopeNarrow(c, call.Request)) {
			return fmt.Sprintf("job %d is pushed back although execution %d ran", call.Request, call.Attempt)
		}
		return ""
	})
}
