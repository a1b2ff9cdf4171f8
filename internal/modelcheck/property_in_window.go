package modelcheck

import (
	"fmt"

	"hollymast/control"
)

var withinDedupWindow = Property{
	Name:        "in-window",
	Description: "A request with an idempotency key (fingerprinted) that may have run is written again only within the scope and the window that know the key.",
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
				return fmt.Sprintf("request %d is written to server %d, outside the scope of attempt %d", call.Request, call.Server, earlier.Attempt)
			case call.WrittenAt >= earlier.WrittenAt+c.class(call.Request).DedupWindow:
				return fmt.Sprintf("request %d is written again %d us after attempt %d, whose key was known for %d", call.Request, call.WrittenAt-earlier.WrittenAt, earlier.Attempt, c.class(call.Request).DedupWindow)
			}
		}
		return ""
	})
}
