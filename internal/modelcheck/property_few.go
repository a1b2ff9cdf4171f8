package modelcheck

import "fmt"

var attemptLimit = Property{
	Name:        "few",
	Description: "A request has at most three attempts.",
	Check:       checkAttemptLimit,
}

func checkAttemptLimit(_ *Config, s *State) string {
	return s.firstAttemptViolation(func(call *ServerCall, earlier []*ServerCall) string {
		if len(earlier) >= 3 {
			return fmt.Sprintf("request %d has attempt %d", call.Request, call.Attempt)
		}
		return ""
	})
}
