package modelcheck

import (
	"fmt"

	"hollymast/control"
)

var nonIdempotentOnce = Property{
	Name:        "run-once",
	Description: "A non-idempotent (run-once) request is retried only if it is proved that no earlier attempt ran; it never runs twice.",
	Check:       checkNonIdempotentOnce,
}

func checkNonIdempotentOnce(c *Config, s *State) string {
	return s.firstAttemptViolation(func(call *ServerCall, earlierCalls []*ServerCall) string {
		if c.effect(call.Request) != control.NonIdempotent || call.WrittenAt == 0 {
			return ""
		}
		for _, earlier := range earlierCalls {
			if earlier.Ran && call.Ran || !earlier.provedNotRun() {
				return fmt.Sprintf("request %d, run-once, is written again although attempt %d may have run", call.Request, earlier.Attempt)
			}
		}
		return ""
	})
}
