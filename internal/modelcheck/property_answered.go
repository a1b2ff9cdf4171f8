package modelcheck

import "fmt"

var answered = Property{
	Name:        "answered",
	Description: "A request has its answer before its client's deadline.",
	Check:       checkAnswered,
}

func checkAnswered(_ *Config, s *State) string {
	for i, request := range s.Requests {
		late := !request.Answer.Decided && s.Now >= request.Deadline || request.Answer.Decided && request.AnsweredAt >= request.Deadline
		if request.Arrived && !request.Unexplored && !request.DeadlineExempt && late {
			return fmt.Sprintf("request %d has no answer at its client's deadline", i)
		}
	}
	return ""
}
