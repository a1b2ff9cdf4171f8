package control

import (
	"slices"
)

// This file does the periodic work, and drops state that is no longer needed.

// Maintain does the work that is due by time: ejection of silent servers, replica checks, pruning. It returns the time
// of the next call, and the cancellations and server events since the last one.
func (b *Balancer) Maintain(now Micros) Maintenance {
	m := Maintenance{Next: now + maintenanceInterval}
	if b.deployment.EndpointsNeedSubscription && !b.subscribed {
		b.subscribed, m.SubscribeEndpoints = true, true
	}
	b.updateAnswerRate(now)
	b.ejectSilentServers(now)
	b.prune(now)
	b.pendingChecks = slices.DeleteFunc(b.pendingChecks, func(f *function) bool {
		b.checkReplicas(now, f)
		f.checkPending = f.held > 0
		return !f.checkPending
	})
	m.Cancellations, m.ServerEvents, b.cancellations, b.serverEvents = b.cancellations, b.serverEvents, nil, nil
	return m
}

// prune drops state that has not been used for long, so that a router can run for months.
func (b *Balancer) prune(now Micros) {
	b.pruneFunctions(now)
	b.pruneServers(now)
	b.index.dropImpaired(func(s *server) bool { return !s.ejected && now >= s.backoffUntil && !s.mayHaveLowWeight(now) })
}

// pruneFunctions drops idle functions, if many are known. Each call checks the next batch.
func (b *Balancer) pruneFunctions(now Micros) {
	const maxFunctions = 1 << 14 // about 20 MB; checking all of them takes a fraction of a millisecond
	const batch = 1 << 11        // functions checked per call: more than the requests that a router gets between calls
	if len(b.functionOrder) <= maxFunctions {
		return
	}
	from := b.pruneCursor % len(b.functionOrder)
	to := min(len(b.functionOrder), from+batch)
	kept := slices.DeleteFunc(b.functionOrder[from:to:to], func(f *function) bool {
		forget := b.idle(now, f)
		if forget {
			delete(b.functions, f.id)
			for _, inst := range f.instances {
				inst.server.removeFunction(f)
			}
		}
		return forget
	})
	reachedEnd := to == len(b.functionOrder)
	b.functionOrder = slices.Delete(b.functionOrder, from+len(kept), to)
	if b.pruneCursor = from + len(kept); reachedEnd {
		b.pruneCursor = 0 // not the position at which the functions added until the next call begin
	}
}

// pruneServers drops servers that left the endpoint list long ago and have no attempt in flight.
func (b *Balancer) pruneServers(now Micros) {
	const retention = 600_000_000 // longer than a rolling restart or an outage of discovery
	removed, expired := b.index.removed, 0
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
		b.removeServer(s)
		return true
	})
	// Moves the servers that are kept rather than those after them, which are all that left the list within the
	// retention time and may be many.
	copy(removed[expired-len(kept):expired], kept)
	clear(removed[:expired-len(kept)])
	b.index.removed = removed[expired-len(kept):]
}

// idle reports whether all state of a function can be dropped.
func (b *Balancer) idle(now Micros, f *function) bool {
	return !f.checkPending && f.recentRequests == 0 && !slices.ContainsFunc(f.instances, func(inst *instance) bool {
		return inst.inFlight > 0 || b.loaded(now, inst) || b.loading(now, inst)
	})
}

// maintenanceInterval is the time between calls of Maintain. It is short enough for several replica checks within a
// load time and within a latency objective.
const maintenanceInterval = 200_000
