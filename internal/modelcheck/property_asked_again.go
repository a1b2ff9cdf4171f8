package modelcheck

import "fmt"

var recheckTimer = Property{
	Name:        "asked-again",
	Description: "While a request is held, the router's timer fires no later than the request's recheck time.",
	Check:       checkRecheckTimer,
}

func checkRecheckTimer(_ *Config, s *State) string {
	for i, router := range s.Routers {
		for _, request := range router.core.Requests {
			if request.Held && !router.Stalled && router.TimerAt > max(request.RecheckAt, s.Now+1) {
				return fmt.Sprintf("router %d holds request %d, and its timer fires %d us after the request's recheck time", i, request.Request.Request.ID-1, router.TimerAt-request.RecheckAt)
			}
		}
	}
	return ""
}
