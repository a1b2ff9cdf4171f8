package control

import (
	"fmt"
	"slices"
)

// Maintenance: what is due without an event, and what is forgotten.

// Maintain does what is due by time: ejection of silent servers, replica checks, pruning. It returns the time of the
// next call, and the cancellations and log lines since the last one.
func (r *Balancer) Maintain(now Micros) Maintenance {
	m := Maintenance{Next: now + maintenanceInterval}
	if r.deployment.EndpointsOnRequest && !r.subscribed {
		r.subscribed, m.SubscribeEndpoints = true, true
	}
	r.updateAnswerRate(now)
	r.ejectSilentServers(now)
	r.prune(now)
	r.waiting = slices.DeleteFunc(r.waiting, func(f *function) bool {
		r.checkReplicas(now, f)
		f.waiting = f.held > 0
		return !f.waiting
	})
	m.Cancellations, m.LogLines, r.cancellations, r.logLines = r.cancellations, r.logLines, nil, nil
	return m
}

// prune forgets what has long been idle, so that a router can run for months.
func (r *Balancer) prune(now Micros) {
	r.pruneFunctions(now)
	r.pruneServers(now)
	r.index.dropQuestionable(func(s *server) bool { return !s.ejected && now >= s.backoffUntil })
}

// pruneFunctions forgets idle functions, if many are known. Each call checks the next batch.
func (r *Balancer) pruneFunctions(now Micros) {
	const maxFunctions = 1 << 14 // about 20 MB; checking all of them takes a fraction of a millisecond
	const batch = 1 << 11        // functions checked per call: more than a router gets requests in the interval
	if len(r.functionOrder) <= maxFunctions {
		return
	}
	from := r.pruned % len(r.functionOrder)
	to := min(len(r.functionOrder), from+batch)
	kept := slices.DeleteFunc(r.functionOrder[from:to:to], func(f *function) bool {
		forget := r.idle(now, f)
		if forget {
			delete(r.functions, f.id)
			for _, inst := range f.instances {
				inst.server.removeFunction(f)
			}
		}
		return forget
	})
	r.functionOrder = slices.Delete(r.functionOrder, from+len(kept), to)
	r.pruned = from + len(kept)
}

// pruneServers forgets servers that left the endpoint list long ago and have no attempt in flight.
func (r *Balancer) pruneServers(now Micros) {
	const retention = 600_000_000 // longer than a rolling restart or an outage of discovery
	removed, expired := r.index.removed, 0
	for expired < len(removed) && now >= removed[expired].lastListed+retention {
		expired++
	}
	kept := slices.DeleteFunc(removed[:expired:expired], func(s *server) bool {
		if len(s.inFlight) > 0 {
			return false
		}
		for _, f := range s.functions {
			f.instances = slices.DeleteFunc(f.instances, func(inst *instance) bool { return inst.server == s })
		}
		r.removeServer(s)
		return true
	})
	r.index.removed = slices.Delete(removed, len(kept), expired)
}

// idle reports whether everything known of a function can be forgotten.
func (r *Balancer) idle(now Micros, f *function) bool {
	return !f.waiting && f.recent == 0 && !slices.ContainsFunc(f.instances, func(inst *instance) bool {
		return inst.inFlight > 0 || r.loaded(now, inst) || r.loading(now, inst)
	})
}

// maintenanceInterval is the time between calls of Maintain. It allows for several replica checks within a load time
// and within a latency objective.
const maintenanceInterval = 200_000

// logf queues a log line, which Maintain returns.
func (r *Balancer) logf(format string, args ...any) {
	r.logLines = append(r.logLines, fmt.Sprintf(format, args...))
}
