package modelcheck

import "fmt"

var oneAttemptAtATime = Property{
	Name:        "one-at-a-time",
	Description: "No execution of a job is chosen while another's end is not known.",
	Check:       checkOneAttemptAtATime,
}

func checkOneAttemptAtATime(_ *Config, s *State) string {
	return s.findAttempt(func(call *ServerCall, before []*ServerCall) string {
		for _, earlier := range before {
			if !earlier.Progress.Ended || earlier.EndedAt > call.ChosenAt {
				return fmt.Sprintf("execution %d of job %d is chosen while %d is out", call.Attempt, call.Request, earlier.Attempt)
			}
		}
		return ""
	})
}
