package modelcheck

import "fmt"

var answered = Property{
	Name:        "answered",
	Description: "A job has its answer before its client's patience ends.",
	Check:       checkAnswered,
}

func checkAnswered(_ *Config, s *State) string {
	for i, request := range s.Requests {
		late := !request.Answer.Given && s.Now >= request.Deadline || request.Answer.Given && request.AnsweredAt >= request.Deadline
		if request.Arrived && !request.Inactive && !request.Excused && late {
			return fmt.Sprintf("job %d has no answer when its client's patience ends", i)
		}
	}
	return ""
}
