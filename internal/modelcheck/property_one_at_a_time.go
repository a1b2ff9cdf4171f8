package modelcheck

import "fmt"

var oneAttemptAtATime = Property{
	Name:        "one-at-a-time",
	Description: "No attempt of a request starts while an earlier one is in flight.",
	Check:       checkOneAttemptAtATime,
}

func checkOneAttemptAtATime(_ *Config, s *State) string {
	return s.firstAttemptViolation(func(call *ServerCall, earlierCalls []*ServerCall) string {
		for _, earlier := range earlierCalls {
			if !earlier.Progress.Ended || earlier.EndedAt > call.ChosenAt {
				return fmt.Sprintf("attempt %d of request %d is chosen while %d is in flight", call.Attempt, call.Request, earlier.Attempt)
			}
		}
		return ""
	})
}
