package modelcheck

import (
	"fmt"

	"hollymast/control"
)

var safeRejection = Property{
	Name:        "harmless",
	Description: "A request is rejected only if its client may retry it safely.",
	Check:       checkSafeRejection,
}

func checkSafeRejection(c *Config, s *State) string {
	return s.firstAttemptViolation(func(call *ServerCall, _ []*ServerCall) string {
		request := s.Requests[call.Request]
		if request.AnswerKind == answerRejected && call.Ran && (c.effect(call.Request) == control.NonIdempotent || hasLimitedDedupScope(c, call.Request)) {
			return fmt.Sprintf("request %d is rejected although attempt %d ran", call.Request, call.Attempt)
		}
		return ""
	})
}
