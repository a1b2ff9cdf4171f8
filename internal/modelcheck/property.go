package modelcheck

import "hollymast/control"

// Property is something that must hold in every state, told in plain words. Check gives what is wrong; empty: nothing.
type Property struct {
	Name, Description string
	Check             func(s *Config, w *State) string
}

// Properties are all, each from a file of its own.
var Properties = []Property{answered, oneAnswer, fewExecutions, oneAtATime, drained, nothingAfter, runOnce, inWindow, harmless, proved, nothingLeft, askedAgain, served,
	trials, coldServer}

// Named gives the properties of these names, all for none; ok is false where one is not known.
func SelectProperties(names []string) (ps []Property, ok bool) {
	if len(names) == 0 {
		return Properties, true
	}
	for _, n := range names {
		before := len(ps)
		for _, p := range Properties {
			if p.Name == n {
				ps = append(ps, p)
			}
		}
		if len(ps) == before {
			return nil, false
		}
	}
	return ps, true
}

// executions calls f with each execution of a job and those before it.
func (w *State) executions(f func(e *ServerCall, before []*ServerCall) string) string {
	by := make([][]*ServerCall, len(w.Requests))
	for i := range w.Calls {
		e := &w.Calls[i]
		if e.Replicas > 0 || w.Requests[e.Request].Inactive {
			continue
		}
		if text := f(e, by[e.Request]); text != "" {
			return text
		}
		by[e.Request] = append(by[e.Request], e)
	}
	return ""
}

// unrun tells whether it is proved to its router that an execution did not run.
func (e *ServerCall) unrun() bool { return e.Progress.Ended && e.Result.ProvesNotRun() }

// narrow tells whether a job's repeats are known to a part of the servers alone.
func narrow(s *Config, job int) bool {
	return s.effect(job) == control.IdempotentByKey && s.workload(job).Scope != control.WholeFleet
}
