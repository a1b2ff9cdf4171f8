package modelcheck

import (
	"fmt"

	"hollymast/control"
)

var runOnce = Property{"run-once", "A run-once job is written again only if it is proved that no earlier execution ran; it never runs twice.", func(s *Config, w *State) string {
	return w.executions(func(e *ServerCall, before []*ServerCall) string {
		if s.effect(e.Request) != control.NonIdempotent || e.WrittenAt == 0 {
			return ""
		}
		for _, b := range before {
			if b.Ran && e.Ran || !b.unrun() {
				return fmt.Sprintf("job %d, run-once, is written again although execution %d may have run", e.Request, b.Attempt)
			}
		}
		return ""
	})
}}
