package modelcheck

import (
	"slices"

	"hollymast/control"
)

// Property is an invariant of all states. Check describes a violation; empty: none.
type Property struct {
	Name, Description string
	Check             func(c *Config, s *State) string
}

// Properties lists all properties. Each one is defined in its own file.
var Properties = []Property{answered, oneAnswer, attemptLimit, oneAttemptAtATime, drained, nothingAfterAnswer, nonIdempotentOnce, withinDedupWindow,
	safeRejection, notRunProofs, nothingLeaked, recheckTimer, served, ejectedProbed, slowStartLimit}

// SelectProperties returns the properties with the given names, or all if no names are given; ok is false if a name is
// unknown.
func SelectProperties(names []string) (selected []Property, ok bool) {
	if len(names) == 0 {
		return Properties, true
	}
	for _, name := range names {
		i := slices.IndexFunc(Properties, func(p Property) bool { return p.Name == name })
		if i < 0 {
			return nil, false
		}
		selected = append(selected, Properties[i])
	}
	return selected, true
}

// findViolation returns the first violation in a state as the property's name and description; empty: none.
func findViolation(c *Config, s *State, properties []Property) string {
	for _, p := range properties {
		if text := p.Check(c, s); text != "" {
			return p.Name + ": " + text
		}
	}
	return ""
}

// firstAttemptViolation calls check with each attempt and the earlier attempts of its request, and returns the first text
// that is not empty. Requests that are not explored are skipped.
func (s *State) firstAttemptViolation(check func(call *ServerCall, earlier []*ServerCall) string) string {
	attempts := make([][]*ServerCall, len(s.Requests))
	for i := range s.Calls {
		call := &s.Calls[i]
		if call.Replicas > 0 || s.Requests[call.Request].Unexplored {
			continue
		}
		if text := check(call, attempts[call.Request]); text != "" {
			return text
		}
		attempts[call.Request] = append(attempts[call.Request], call)
	}
	return ""
}

// provedNotRun reports whether the router has proof that an attempt did not run.
func (call *ServerCall) provedNotRun() bool { return call.Progress.Ended && call.Result.ProvesNotRun() }

// hasLimitedDedupScope reports whether only some of the servers know a request's idempotency key.
func hasLimitedDedupScope(c *Config, request int) bool {
	return c.effect(request) == control.IdempotentByKey && c.class(request).DedupScope != control.WholeFleet
}
