package modelcheck

import "fmt"

var recheckTimer = Property{
	Name:        "asked-again",
	Description: "For a job that is held the alarm is set no later than it is to be asked about again.",
	Check:       checkRecheckTimer,
}

func checkRecheckTimer(_ *Config, s *State) string {
	for i, router := range s.Routers {
		for _, request := range router.core.Requests {
			if request.Held && !router.Stalled && router.TimerAt > max(request.RecheckAt, s.Now+1) {
				return fmt.Sprintf("router %d holds job %d until %d us after it was to be asked about", i, request.Request.Request.ID-1, router.TimerAt-request.RecheckAt)
			}
		}
	}
	return ""
}
