package modelcheck

import (
	"fmt"

	"hollymast/control"
)

var inWindow = Property{"in-window", "A fingerprinted job that may have run is written again only in its group and while that knows it.", func(s *Config, w *State) string {
	return w.executions(func(e *ServerCall, before []*ServerCall) string {
		if s.effect(e.Request) != control.IdempotentByKey || e.WrittenAt == 0 {
			return ""
		}
		for _, b := range before {
			switch {
			case b.unrun():
			case !s.sameGroup(e.Request, b.Server, e.Server):
				return fmt.Sprintf("job %d is written to server %d, outside the group of execution %d", e.Request, e.Server, b.Attempt)
			case e.WrittenAt >= b.WrittenAt+s.workload(e.Request).Window:
				return fmt.Sprintf("job %d is written again %d us after execution %d, of which its group knew for %d", e.Request, e.WrittenAt-b.WrittenAt, b.Attempt, s.workload(e.Request).Window)
			}
		}
		return ""
	})
}}
