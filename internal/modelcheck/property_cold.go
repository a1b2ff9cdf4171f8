package modelcheck

import (
	"fmt"

	"hollymast/control"
)

var coldServer = Property{"cold", "All routers together write no more to a cold server within the time in which it falls over than it bears.", func(s *Setup, w *World) string {
	if s.Moment != nil {
		return "" // other routers send there too, and what the server bears is told otherwise
	}
	for i, v := range w.Servers {
		if v.Born == 0 {
			continue
		}
		for _, last := range w.Exchanges {
			age := last.Written - v.Born
			if last.Server != i || last.Order > 0 || last.Written < v.Born || age >= cold || last.Epoch != v.Epoch {
				continue
			}
			n := 0
			for _, e := range w.Exchanges {
				if e.Server == i && e.Order == 0 && e.Epoch == v.Epoch && e.Written > last.Written-fall && e.Written <= last.Written {
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
