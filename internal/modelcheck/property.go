package modelcheck

import "hollymast/control"

// Property is something that must hold in every state, told in plain words. Check gives what is wrong; empty: nothing.
type Property struct {
	Name, Words string
	Check       func(s *Setup, w *World) string
}

// Properties are all, each from a file of its own.
var Properties = []Property{answered, oneAnswer, fewExecutions, oneAtATime, drained, nothingAfter, runOnce, inWindow, harmless, proved, nothingLeft, askedAgain, served,
	trials, coldServer}

// Named gives the properties of these names, all for none; ok is false where one is not known.
func Named(names []string) (ps []Property, ok bool) {
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
func (w *World) executions(f func(e *Exchange, before []*Exchange) string) string {
	by := make([][]*Exchange, len(w.Jobs))
	for i := range w.Exchanges {
		e := &w.Exchanges[i]
		if e.Order > 0 || w.Jobs[e.Job].Still {
			continue
		}
		if text := f(e, by[e.Job]); text != "" {
			return text
		}
		by[e.Job] = append(by[e.Job], e)
	}
	return ""
}

// unrun tells whether it is proved to its router that an execution did not run.
func (e *Exchange) unrun() bool { return e.State.Ended && e.Result.ProvesNotRun() }

// narrow tells whether a job's repeats are known to a part of the servers alone.
func narrow(s *Setup, job int) bool {
	return s.effect(job) == control.IdempotentByKey && s.workload(job).Scope != control.WholeFleet
}
