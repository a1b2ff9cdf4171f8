package modelcheck

import "fmt"

var nothingAfterAnswer = Property{
	Name:        "nothing-after",
	Description: "Nothing is written for a request that has its answer.",
	Check:       checkNothingAfterAnswer,
}

func checkNothingAfterAnswer(_ *Config, s *State) string {
	return s.findAttempt(func(call *ServerCall, _ []*ServerCall) string {
		if request := s.Requests[call.Request]; request.Answer.Decided && call.WrittenAt > 0 && call.WrittenAfterAnswer {
			return fmt.Sprintf("attempt %d of request %d is written after the request was %s", call.Attempt, call.Request, answerTexts[request.AnswerKind])
		}
		return ""
	})
}
