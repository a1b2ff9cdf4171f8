package modelcheck

import (
	"fmt"

	"hollymast/control"
)

var slowStartLimit = Property{
	Name:        "cold",
	Description: "All routers together write no more to a server in slow start within its overload window than it bears.",
	Check:       checkSlowStartLimit,
}

func checkSlowStartLimit(c *Config, s *State) string {
	if c.RecordedState != nil {
		return "" // other routers send there too, and the deployment's own capacity counts
	}
	for i, server := range s.Servers {
		if server.StartedAt == 0 {
			continue
		}
		for _, last := range s.Calls {
			if last.Server != i || !s.isInSlowStart(&last) {
				continue
			}
			age := last.WrittenAt - server.StartedAt
			limit := slowStartShare(age) * overloadFactor * serverRate * float64(overloadWindow) / microsPerSecond
			if n := s.countWritten(&last); float64(n) > max(1, limit) {
				return fmt.Sprintf("server %d, in slow start for %d us, is written %d requests within %d us and bears %.1f", i, age, n, overloadWindow, limit)
			}
		}
	}
	return ""
}

// slowStartShare is the share of its capacity that a server in slow start has at an age.
func slowStartShare(age control.Micros) float64 {
	return slowStartInitial + (1-slowStartInitial)*float64(age)/float64(slowStartDuration)
}

// isInSlowStart reports whether an attempt was written to its server's present incarnation while in slow start.
func (s *State) isInSlowStart(call *ServerCall) bool {
	server := s.Servers[call.Server]
	return call.Replicas == 0 && call.Incarnation == server.Incarnation && call.WrittenAt >= server.StartedAt &&
		call.WrittenAt-server.StartedAt < slowStartDuration
}

// countWritten counts the attempts written to a call's server within the overload window that ends with the call.
func (s *State) countWritten(last *ServerCall) (n int) {
	for _, call := range s.Calls {
		if call.Server == last.Server && call.Replicas == 0 && call.Incarnation == last.Incarnation &&
			call.WrittenAt > last.WrittenAt-overloadWindow && call.WrittenAt <= last.WrittenAt {
			n++
		}
	}
	return n
}
