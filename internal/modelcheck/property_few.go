package modelcheck

import "fmt"

var attemptLimit = Property{
	Name:        "few",
	Description: "A request has three attempts at most.",
	Check:       checkAttemptLimit,
}

func checkAttemptLimit(_ *Config, s *State) string {
	return s.findAttempt(func(call *ServerCall, before []*ServerCall) string {
		if len(before) >= 3 {
			return fmt.Sprintf("request %d has attempt %d", call.Request, call.Attempt)
		}
		return ""
	})
}
