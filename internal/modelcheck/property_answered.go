package modelcheck

import "fmt"

var answered = Property{"answered", "A job has its answer before its client's patience ends.", func(_ *Setup, w *World) string {
	for i, j := range w.Jobs {
		late := !j.State.Given && w.Now >= j.Until || j.State.Given && j.When >= j.Until
		if j.Arrived && !j.Still && !j.Excused && late {
			return fmt.Sprintf("job %d has no answer when its client's patience ends", i)
		}
	}
	return ""
}}
