package modelcheck

import (
	"fmt"

	"hollymast/control"
)

var withinDedupWindow = Property{
	Name:        "in-window",
	Description: "A request with an idempotency key (fingerprinted) that may have run is retried only within the key's dedup scope and dedup window.",
	Check:       checkWithinDedupWindow,
}

func checkWithinDedupWindow(c *Config, s *State) string {
	return s.firstAttemptViolation(func(call *ServerCall, earlierCalls []*ServerCall) string {
		if c.effect(call.Request) != control.IdempotentByKey || call.WrittenAt == 0 {
			return ""
		}
		for _, earlier := range earlierCalls {
			switch {
			case earlier.provedNotRun():
			case !c.sameDedupScope(call.Request, earlier.Server, call.Server):
				return fmt.Sprintf("request %d is written to server %d, outside the dedup scope of attempt %d", call.Request, call.Server, earlier.Attempt)
			case call.WrittenAt >= earlier.WrittenAt+c.class(call.Request).DedupWindow:
				return fmt.Sprintf("request %d is written again %d us after attempt %d, beyond the dedup window of %d us", call.Request, call.WrittenAt-earlier.WrittenAt, earlier.Attempt, c.class(call.Request).DedupWindow)
			}
		}
		return ""
	})
}
