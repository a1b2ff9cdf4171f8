package modelcheck

import (
	"fmt"

	"hollymast/control"
)

var slowStartLimit = Property{
	Name:        "cold",
	Description: "All routers together write no more requests to a server in slow start than it can handle within the overload window.",
	Check:       checkSlowStartLimit,
}

func checkSlowStartLimit(c *Config, s *State) string {
	if c.RecordedState != nil {
		return "" // other routers send requests, too, and the recorded deployment has its own capacity
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
				return fmt.Sprintf("server %d, in slow start for %d us, receives %d requests within %d us and can handle %.1f", i, age, n, overloadWindow, limit)
			}
		}
	}
	return ""
}

// slowStartShare returns the share of full capacity that a server in slow start has at an age.
func slowStartShare(age control.Micros) float64 {
	return slowStartInitial + (1-slowStartInitial)*float64(age)/float64(slowStartDuration)
}

// isInSlowStart reports whether an attempt was written to its server's current incarnation during slow start.
func (s *State) isInSlowStart(call *ServerCall) bool {
	server := s.Servers[call.Server]
	return call.Replicas == 0 && call.Incarnation == server.Incarnation && call.WrittenAt >= server.StartedAt &&
		call.WrittenAt-server.StartedAt < slowStartDuration
}

// countWritten counts the attempts written to a call's server in the overload window that ends with the call.
func (s *State) countWritten(last *ServerCall) (n int) {
	for _, call := range s.Calls {
		if call.Server == last.Server && call.Replicas == 0 && call.Incarnation == last.Incarnation &&
			call.WrittenAt > last.WrittenAt-overloadWindow && call.WrittenAt <= last.WrittenAt {
			n++
		}
	}
	return n
}
