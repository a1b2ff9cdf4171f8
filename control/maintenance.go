package control

import (
	"fmt"
	"slices"
)

// Maintenance: what falls due without an event, and what is forgotten.

// Maintain answers how long to wait until the next upkeep, and what falls due now.
func (r *Balancer) Maintain(now Micros) Maintenance {
	up := Maintenance{Next: now + maintenanceInterval}
	if r.deployment.EndpointsOnRequest && !r.subscribed {
		r.subscribed, up.SubscribeEndpoints = true, true
	}
	r.updateAnswerRate(now)
	r.ejectSilentServers(now)
	r.prune(now)
	r.waiting = slices.DeleteFunc(r.waiting, func(f *function) bool {
		r.checkReplicas(now, f)
		f.waiting = f.held > 0
		return !f.waiting
	})
	up.Cancellations, up.LogLines, r.cancellations, r.logLines = r.cancellations, r.logLines, nil, nil
	return up
}

// prune forgets what is long idle, so that a router may serve for months: beyond many functions one with nothing
// held or out, and no copy believed loaded or coming; and a server long after it left the list.
func (r *Balancer) prune(now Micros) {
	const many = 1 << 14  // some 20 MB; a check of all takes a fraction of a millisecond
	const batch = 1 << 11 // looked at in one upkeep: more new names a second than a router takes jobs
	if len(r.functionOrder) > many {
		from := r.pruned % len(r.functionOrder)
		to := min(len(r.functionOrder), from+batch)
		kept := slices.DeleteFunc(r.functionOrder[from:to:to], func(f *function) bool {
			gone := r.idle(now, f)
			if gone {
				delete(r.functions, f.id)
				for _, in := range f.instances {
					in.server.removeFunction(f)
				}
			}
			return gone
		})
		r.functionOrder = slices.Delete(r.functionOrder, from+len(kept), to)
		r.pruned = from + len(kept)
	}
	const long = 600_000_000 // a roll or a break of the list is over by then
	gone, due := r.index.removed, 0
	for due < len(gone) && now >= gone[due].lastListed+long {
		due++
	}
	kept := slices.DeleteFunc(gone[:due:due], func(s *server) bool {
		if len(s.inFlight) > 0 {
			return false
		}
		for _, f := range s.functions {
			f.instances = slices.DeleteFunc(f.instances, func(in *instance) bool { return in.server == s })
		}
		r.removeServer(s)
		return true
	})
	r.index.removed = slices.Delete(gone, len(kept), due)
	r.index.dropQuestionable(func(s *server) bool { return !s.ejected && now >= s.backoffUntil })
}

// idle tells whether all that is known of a function may be forgotten.
func (r *Balancer) idle(now Micros, f *function) bool {
	return !f.waiting && f.recent == 0 && !slices.ContainsFunc(f.instances, func(in *instance) bool {
		return in.inFlight > 0 || r.loaded(now, in) || r.loading(now, in)
	})
}

const maintenanceInterval = 200_000 // several checks within a load's time and within a start target

func (r *Balancer) logf(format string, args ...any) {
	r.logLines = append(r.logLines, fmt.Sprintf(format, args...))
}
