package modelcheck

import "fmt"

var askedAgain = Property{"asked-again", "For a job that is held the alarm is set no later than it is to be asked about again.", func(_ *Config, w *State) string {
	for i, r := range w.Routers {
		for _, j := range r.core.Requests {
			if j.Held && !r.Stalled && r.TimerAt > max(j.RecheckAt, w.Now+1) {
				return fmt.Sprintf("router %d holds job %d until %d us after it was to be asked about", i, j.Request.Request.ID-1, r.TimerAt-j.RecheckAt)
			}
		}
	}
	return ""
}}
