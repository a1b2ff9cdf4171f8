package modelcheck

import "fmt"

var notRunProofs = Property{
	Name:        "proved",
	Description: "What a router takes for proved not to have run did not run.",
	Check:       checkNotRunProofs,
}

func checkNotRunProofs(_ *Config, s *State) string {
	return s.firstAttemptViolation(func(call *ServerCall, _ []*ServerCall) string {
		if call.provedNotRun() && call.Ran {
			return fmt.Sprintf("attempt %d of request %d ran, and its end is taken for a proof that it did not", call.Attempt, call.Request)
		}
		return ""
	})
}
