package modelcheck

import (
	"fmt"

	"hollymast/control"
)

var withinDedupWindow = Property{
	Name:        "in-window",
	Description: "A fingerprinted job that may have run is written again only in its group and while that knows it.",
	Check:       checkWithinDedupWindow,
}

func checkWithinDedupWindow(c *Config, s *State) string {
	return s.findAttempt(func(call *ServerCall, before []*ServerCall) string {
		if c.effect(call.Request) != control.IdempotentByKey || call.WrittenAt == 0 {
			return ""
		}
		for _, earlier := range before {
			switch {
			case earlier.provedNotRun():
			case !c.sameDedupScope(call.Request, earlier.Server, call.Server):
				return fmt.Sprintf("job %d is written to server %d, outside the group of execution %d", call.Request, call.Server, earlier.Attempt)
			case call.WrittenAt >= earlier.WrittenAt+c.class(call.Request).Window:
				return fmt.Sprintf("job %d is written again %d us after execution %d, of which its group knew for %d", call.Request, call.WrittenAt-earlier.WrittenAt, earlier.Attempt, c.class(call.Request).Window)
			}
		}
		return ""
	})
}
