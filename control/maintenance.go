package control

import (
	"slices"
)

// Maintenance: what is due without an event, and what is forgotten.

// Maintain does what is due by time: ejection of silent servers, replica checks, pruning. It returns the time of the
// next call, and the cancellations and log lines since the last one.
func (b *Balancer) Maintain(now Micros) Maintenance {
	m := Maintenance{Next: now + maintenanceInterval}
	if b.deployment.EndpointsNeedSubscription && !b.subscribed {
		b.subscribed, m.SubscribeEndpoints = true, true
	}
	b.updateAnswerRate(now)
	b.ejectSilentServers(now)
	b.prune(now)
	b.waiting = slices.DeleteFunc(b.waiting, func(f *function) bool {
		b.checkReplicas(now, f)
		f.waiting = f.held > 0
		return !f.waiting
	})
	m.Cancellations, m.ServerEvents, b.cancellations, b.serverEvents = b.cancellations, b.serverEvents, nil, nil
	return m
}

// prune forgets what has long been idle, so that a router can run for months.
func (b *Balancer) prune(now Micros) {
	b.pruneFunctions(now)
	b.pruneServers(now)
	b.index.dropImpaired(func(s *server) bool { return !s.ejected && now >= s.backoffUntil && !s.mayHaveLowWeight(now) })
}

// pruneFunctions forgets idle functions, if many are known. Each call checks the next batch.
func (b *Balancer) pruneFunctions(now Micros) {
	const maxFunctions = 1 << 14 // about 20 MB; checking all of them takes a fraction of a millisecond
	const batch = 1 << 11        // functions checked per call: more than a router gets requests in the interval
	if len(b.functionOrder) <= maxFunctions {
		return
	}
	from := b.pruned % len(b.functionOrder)
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
	b.functionOrder = slices.Delete(b.functionOrder, from+len(kept), to)
	b.pruned = from + len(kept)
}

// pruneServers forgets servers that left the endpoint list long ago and have no attempt in flight.
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
	// Moves those that are kept, not the others: there may be as many as have left in the retention time.
	copy(removed[expired-len(kept):expired], kept)
	clear(removed[:expired-len(kept)])
	b.index.removed = removed[expired-len(kept):]
}

// idle reports whether everything known of a function can be forgotten.
func (b *Balancer) idle(now Micros, f *function) bool {
	return !f.waiting && f.recent == 0 && !slices.ContainsFunc(f.instances, func(inst *instance) bool {
		return inst.inFlight > 0 || b.loaded(now, inst) || b.loading(now, inst)
	})
}

// maintenanceInterval is the time between calls of Maintain. It allows for several replica checks within a load time
// and within a latency objective.
const maintenanceInterval = 200_000
