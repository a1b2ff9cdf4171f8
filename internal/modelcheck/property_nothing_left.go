package modelcheck

import "fmt"

var nothingLeaked = Property{
	Name:        "nothing-left",
	Description: "When all requests are answered and nothing is in flight, no router counts anything as held, in flight or running.",
	Check:       checkNothingLeaked,
}

func checkNothingLeaked(c *Config, s *State) string {
	if c.RecordedState != nil {
		return "" // the requests that are not explored never end
	}
	for _, request := range s.Requests {
		if !request.Answer.Done() {
			return ""
		}
	}
	for _, call := range s.Calls {
		if !call.Progress.Ended {
			return ""
		}
	}
	for i, router := range s.Routers {
		if router.Stalled {
			continue
		}
		balancer := router.core.Balancer
		for _, server := range balancer.Servers {
			if server.Running != 0 || len(server.InFlight) > 0 {
				return fmt.Sprintf("router %d still counts %d running and %d in flight at server %d", i, server.Running, len(server.InFlight), c.serverIndex(server.Endpoint.Server))
			}
		}
		for _, function := range balancer.Functions {
			for _, instance := range function.Instances {
				if instance.InFlight != 0 { // loads are not checked: one may outlast the router's call, and the balancer drops it later
					return fmt.Sprintf("router %d still counts %d attempts in flight at server %d", i, instance.InFlight, c.serverIndex(instance.Server))
				}
			}
			if function.Held != 0 {
				return fmt.Sprintf("router %d still counts %d requests as held", i, function.Held)
			}
		}
		if len(router.core.Requests) > 0 || len(router.core.Held) > 0 {
			return fmt.Sprintf("the core of router %d still has requests", i)
		}
	}
	return ""
}
