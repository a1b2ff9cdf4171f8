package modelcheck

import (
	"fmt"

	"hollymast/control"
)

var inWindow = Property{"in-window", "A fingerprinted job that may have run is written again only in its group and while that knows it.", func(s *Setup, w *World) string {
	return w.executions(func(e *Exchange, before []*Exchange) string {
		if s.effect(e.Job) != control.IdempotentByKey || e.Written == 0 {
			return ""
		}
		for _, b := range before {
			switch {
			case b.unrun():
			case !s.sameGroup(e.Job, b.Server, e.Server):
				return fmt.Sprintf("job %d is written to server %d, outside the group of execution %d", e.Job, e.Server, b.No)
			case e.Written >= b.Written+s.workload(e.Job).Window:
				return fmt.Sprintf("job %d is written again %d us after execution %d, of which its group knew for %d", e.Job, e.Written-b.Written, b.No, s.workload(e.Job).Window)
			}
		}
		return ""
	})
}}
