package modelcheck

import "fmt"

var notRunProofs = Property{
	Name:        "proved",
	Description: "An attempt that a router considers proved not to have run did not run.",
	Check:       checkNotRunProofs,
}

func checkNotRunProofs(_ *Config, s *State) string {
	return s.firstAttemptViolation(func(call *ServerCall, _ []*ServerCall) string {
		if call.provedNotRun() && call.Ran {
			return fmt.Sprintf("attempt %d of request %d ran, but its router considers it proved that it did not", call.Attempt, call.Request)
		}
		return ""
	})
}
