package modelcheck

import (
	"fmt"

	"hollymast/control"
)

var runOnce = Property{"run-once", "A run-once job is written again only if it is proved that no earlier execution ran; it never runs twice.", func(s *Setup, w *World) string {
	return w.executions(func(e *Exchange, before []*Exchange) string {
		if s.effect(e.Job) != control.NonIdempotent || e.Written == 0 {
			return ""
		}
		for _, b := range before {
			if b.Ran && e.Ran || !b.unrun() {
				return fmt.Sprintf("job %d, run-once, is written again although execution %d may have run", e.Job, b.No)
			}
		}
		return ""
	})
}}
