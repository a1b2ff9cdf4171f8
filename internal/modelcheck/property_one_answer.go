package modelcheck

import "fmt"

var oneAnswer = Property{
	Name:        "one-answer",
	Description: "A request never gets a second final response.",
	Check:       checkOneAnswer,
}

func checkOneAnswer(_ *Config, s *State) string {
	for i, request := range s.Requests {
		if request.AnswerCount > 1 {
			return fmt.Sprintf("request %d gets a second final response: %s", i, answerTexts[request.AnswerKind])
		}
	}
	return ""
}
