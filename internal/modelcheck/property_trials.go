package modelcheck

import "fmt"

var trials = Property{"trials", "A suspect that is listed as ready is due for another job within twenty seconds.", func(s *Config, w *State) string {
	const most = 20_000_000 // the module's longest pause between trials, where answers are rarest
	for i, r := range w.Routers {
		for _, v := range r.core.Balancer.Servers {
			if v.Ejected && v.ProbeAt > w.Now+most {
				return fmt.Sprintf("router %d tries suspect server %d no sooner than in %d us", i, s.index(v.Endpoint.Server), v.ProbeAt-w.Now)
			}
		}
	}
	return ""
}}
