package modelcheck

import "fmt"

var oneAnswer = Property{"one-answer", "A job gets one final answer and no other.", func(_ *Config, w *State) string {
	for i, j := range w.Requests {
		if j.Answers > 1 {
			return fmt.Sprintf("job %d gets a second answer: %s", i, j.AnswerKind)
		}
	}
	return ""
}}
