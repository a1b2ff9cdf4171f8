package modelcheck

import "fmt"

var ejectedProbed = Property{
	Name:        "trials",
	Description: "An ejected server that is listed as ready is probed within twenty seconds.",
	Check:       checkEjectedProbed,
}

func checkEjectedProbed(c *Config, s *State) string {
	const maxProbePause = 20_000_000 // microseconds; the balancer's longest pause between probes, where answers are rarest
	for i, router := range s.Routers {
		for _, server := range router.core.Balancer.Servers {
			if server.Ejected && server.ProbeAt > s.Now+maxProbePause {
				return fmt.Sprintf("router %d probes ejected server %d no sooner than in %d us", i, c.serverIndex(server.Endpoint.Server), server.ProbeAt-s.Now)
			}
		}
	}
	return ""
}
