package modelcheck

import "fmt"

var oneAnswer = Property{
	Name:        "one-answer",
	Description: "A request gets one final answer and no other.",
	Check:       checkOneAnswer,
}

func checkOneAnswer(_ *Config, s *State) string {
	for i, request := range s.Requests {
		if request.AnswerCount > 1 {
			return fmt.Sprintf("request %d gets a second answer: %s", i, answerTexts[request.AnswerKind])
		}
	}
	return ""
}
