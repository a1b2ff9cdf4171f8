package modelcheck

import "fmt"

var recheckTimer = Property{
	Name:        "asked-again",
	Description: "While a request is held the timer is set no later than it is to be checked again.",
	Check:       checkRecheckTimer,
}

func checkRecheckTimer(_ *Config, s *State) string {
	for i, router := range s.Routers {
		for _, request := range router.core.Requests {
			if request.Held && !router.Stalled && router.TimerAt > max(request.RecheckAt, s.Now+1) {
				return fmt.Sprintf("router %d holds request %d until %d us after it was to be checked", i, request.Request.Request.ID-1, router.TimerAt-request.RecheckAt)
			}
		}
	}
	return ""
}
