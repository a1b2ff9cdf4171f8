package modelcheck

import (
	"fmt"

	"hollymast/control"
)

var coldServer = Property{"cold", "All routers together write no more to a cold server within the time in which it falls over than it bears.", func(s *Config, w *State) string {
	if s.RecordedState != nil {
		return "" // other routers send there too, and what the server bears is told otherwise
	}
	for i, v := range w.Servers {
		if v.StartedAt == 0 {
			continue
		}
		for _, last := range w.Calls {
			age := last.WrittenAt - v.StartedAt
			if last.Server != i || last.Replicas > 0 || last.WrittenAt < v.StartedAt || age >= cold || last.Incarnation != v.Incarnation {
				continue
			}
			n := 0
			for _, e := range w.Calls {
				if e.Server == i && e.Replicas == 0 && e.Incarnation == v.Incarnation && e.WrittenAt > last.WrittenAt-fall && e.WrittenAt <= last.WrittenAt {
					n++
				}
			}
			bears := (coldFrom + (1-coldFrom)*float64(age)/float64(cold)) * multiple * rate * float64(fall) / 1e6
			if float64(n) > max(1, bears) {
				return fmt.Sprintf("server %d, cold for %d us, is written %d jobs within %d us and bears %.1f", i, age, n, control.Micros(fall), bears)
			}
		}
	}
	return ""
}}
