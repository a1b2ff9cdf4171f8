package modelcheck

import "fmt"

var answered = Property{"answered", "A job has its answer before its client's patience ends.", func(_ *Config, w *State) string {
	for i, j := range w.Requests {
		late := !j.Answer.Given && w.Now >= j.Deadline || j.Answer.Given && j.AnsweredAt >= j.Deadline
		if j.Arrived && !j.Inactive && !j.Excused && late {
			return fmt.Sprintf("job %d has no answer when its client's patience ends", i)
		}
	}
	return ""
}}
