package modelcheck

import (
	"slices"

	"hollymast/control"
)

// Property is something that must hold in every state. Check says what is wrong; empty: nothing.
type Property struct {
	Name, Description string
	Check             func(c *Config, s *State) string
}

// Properties are all properties, each from a file of its own.
var Properties = []Property{answered, oneAnswer, attemptLimit, oneAttemptAtATime, drained, nothingAfterAnswer, nonIdempotentOnce, withinDedupWindow,
	safeRejection, notRunProofs, nothingLeaked, recheckTimer, served, ejectedProbed, slowStartLimit}

// SelectProperties returns the properties of these names, all for none; ok is false where one is not known.
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

// findViolation returns the first property that fails in a state, as its name and what it says; empty: none.
func findViolation(c *Config, s *State, properties []Property) string {
	for _, p := range properties {
		if text := p.Check(c, s); text != "" {
			return p.Name + ": " + text
		}
	}
	return ""
}

// findAttempt calls check with each attempt and the earlier ones of its request, and returns the first text that is not empty.
func (s *State) findAttempt(check func(call *ServerCall, earlier []*ServerCall) string) string {
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

// provedNotRun reports whether it is proved to its router that an attempt did not run.
func (e *ServerCall) provedNotRun() bool { return e.Progress.Ended && e.Result.ProvesNotRun() }

// isDedupScopeNarrow reports whether a request's idempotency key is known to a part of the servers alone.
func isDedupScopeNarrow(c *Config, request int) bool {
	return c.effect(request) == control.IdempotentByKey && c.class(request).DedupScope != control.WholeFleet
}
