package modelcheck

import "fmt"

var ejectedProbed = Property{
	Name:        "trials",
	Description: "An ejected server that is listed as ready is probed within 20 seconds.",
	Check:       checkEjectedProbed,
}

func checkEjectedProbed(c *Config, s *State) string {
	const maxProbePause = 20_000_000 // microseconds; the balancer's longest interval between probes, reached when responses are rarest
	for i, router := range s.Routers {
		for _, server := range router.core.Balancer.Servers {
			if server.Ejected && server.ProbeAt > s.Now+maxProbePause {
				return fmt.Sprintf("router %d does not probe ejected server %d for another %d us", i, c.serverIndex(server.Endpoint.Server), server.ProbeAt-s.Now)
			}
		}
	}
	return ""
}
