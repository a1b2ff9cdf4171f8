package modelcheck

import "fmt"

var nothingLeft = Property{"nothing-left", "When all jobs are answered and nothing is out, a router counts nothing as held, out or busy.", func(s *Config, w *State) string {
	if s.RecordedState != nil {
		return "" // its other jobs stand still
	}
	for _, j := range w.Requests {
		if !j.Answer.Done() {
			return ""
		}
	}
	for _, e := range w.Calls {
		if !e.Progress.Ended {
			return ""
		}
	}
	for i, r := range w.Routers {
		if r.Stalled {
			continue
		}
		m := r.core.Balancer
		for _, v := range m.Servers {
			if v.Running != 0 || len(v.InFlight) > 0 {
				return fmt.Sprintf("router %d still counts %d busy and %d out at server %d", i, v.Running, len(v.InFlight), s.index(v.Endpoint.Server))
			}
		}
		for _, f := range m.Functions {
			for _, in := range f.Instances {
				if in.InFlight != 0 { // a load may go on without us: that belief ends by itself
					return fmt.Sprintf("router %d still counts %d executions out at server %d", i, in.InFlight, s.index(in.Server))
				}
			}
			if f.Held != 0 {
				return fmt.Sprintf("router %d still counts %d jobs as held", i, f.Held)
			}
		}
		if len(r.core.Requests) > 0 || len(r.core.Held) > 0 {
			return fmt.Sprintf("router %d still has jobs in hand", i)
		}
	}
	return ""
}}
