package control

import "slices"

// This file decides which instance a request is forwarded to, and when it is held or ended.

// Rank returns the key by which callers order pending requests, lowest first: the time at which the request's
// slack ends.
func (b *Balancer) Rank(_ Micros, req *Request) Micros {
	return req.ArrivedAt + b.slack(req, b.execTime(b.function(req), req))
}

// slack returns how long a request may wait without missing its latency objective or its deadline.
func (b *Balancer) slack(req *Request, exec Micros) Micros {
	return max(0, min(b.latencyObjective(req, exec), req.Deadline-req.ArrivedAt)-exec)
}

// Route decides whether a request is forwarded, held, or ended. The caller asks again when the state has changed,
// at the latest at the decision's RecheckAt.
func (b *Balancer) Route(now Micros, req *Request) Decision {
	f := b.function(req)
	if !req.admitted {
		b.admit(now, f, req)
	}
	if b.trace != nil {
		b.trace.begin(b, now, f, req)
	}
	d := b.decide(now, f, req)
	if b.trace != nil {
		b.trace.end(d)
	}
	// A request ends before its deadline, whatever it waits for (rule 1 of docs/design.md).
	d.RecheckAt = min(d.RecheckAt, req.Deadline-2*b.deployment.Tick)
	if hold := d.Action == Hold; hold && !req.held {
		b.beginHold(now, f, req)
	} else if !hold && req.held {
		f.endHold(now, req)
	}
	return d
}

// admit initializes a request's state when Route sees it for the first time.
func (b *Balancer) admit(now Micros, f *function, req *Request) {
	req.admitted, req.firstSentAt = true, b.firstSentAt(now, req)
	req.overQuota = b.mustShed(now) || b.exceedsQuota(now, req)
	// Large enough to determine a function's share of the requests to within a few hundredths.
	const window = 128
	b.recentFunctions = append(b.recentFunctions, f)
	if f.recentRequests++; len(b.recentFunctions) > window {
		oldest := b.recentFunctions[0]
		if oldest.recentRequests--; oldest.recentRequests == 0 {
			oldest.homes = homeSet{} // bounds the memory of all home sets
		}
		b.recentFunctions = b.recentFunctions[1:]
	}
	if b.deployment.LoadRateWindow > 0 {
		b.admitted = append(b.admitted, now)
	}
}

// beginHold counts a request as held, and includes its function in the next replica check.
func (b *Balancer) beginHold(now Micros, f *function, req *Request) {
	if f.held++; f.held == 1 {
		f.heldSince = now
	}
	if !f.checkPending {
		f.checkPending, b.pendingChecks = true, append(b.pendingChecks, f)
	}
	req.held, req.heldSince = true, now
}

// endHold counts a request as no longer held.
func (f *function) endHold(now Micros, req *Request) {
	f.held--
	req.held = false
	req.heldFor += now - req.heldSince
}

// timing is how much time a request has for its next attempt.
type timing struct {
	total       Micros // the slack that it had when its client first sent it
	slack       Micros // what is left of it; negative if the request will miss its objective or deadline
	margin      Micros // the least slack with which a request competes with others for a slot
	latestStart Micros // an attempt started later can't end before the deadline
}

// timing works out a request's timing.
func (b *Balancer) timing(now Micros, f *function, req *Request) timing {
	exec := b.execTime(f, req)
	total := b.slack(req, exec)
	t := timing{total: total, slack: req.firstSentAt + total - now,
		margin:      min(exec, total/2), // admits every new request
		latestStart: req.Deadline - exec/2 - 2*b.deployment.Tick}
	if req.IsRetry {
		t.slack = 0 // used up by the client's first attempt
	}
	return t
}

// decide determines the decision that Route returns.
func (b *Balancer) decide(now Micros, f *function, req *Request) Decision {
	if slices.ContainsFunc(req.Attempts, func(a Attempt) bool { return !a.Done }) {
		return b.explain(Decision{Action: NoAction}, reasonAttemptInFlight)
	}
	t := b.timing(now, f, req)
	if b.trace != nil {
		e := &b.trace.explanation
		e.Slack, e.Margin, e.LatestStart = t.slack, t.margin, t.latestStart
	}
	if reason := b.endReason(now, req, t); reason != "" {
		return b.explain(b.rejectOrFail(req), reason)
	}
	hold := Decision{Action: Hold, Rank: req.ArrivedAt + t.total, RecheckAt: min(now+maintenanceInterval, t.latestStart)}
	if f.blockedAt == now && t.slack >= t.margin && len(req.Attempts) == 0 {
		// A request with less slack found no instance in this step of the event loop. Skipping the rest bounds the work
		// of a step with many held requests.
		return b.explain(hold, reasonFunctionBlocked)
	}
	if inst := b.fullestInstance(now, f, req); inst != nil {
		return b.forwardOrShed(now, f, req, inst, t)
	}
	if f.loadsDue > 0 {
		if s := b.loadTarget(now, f, req, additionalReplica); s != nil {
			f.loadsDue--
			return b.explain(b.startLoad(now, f, req, s), reasonReplicaDue)
		}
	}
	loaded, loading := b.replicaState(now, f)
	if loaded && t.slack < t.margin && !loading {
		b.recordShed(now, t.total, f) // guards against the same overload as forwardOrShed
		return b.explain(b.rejectOrFail(req), reasonReplicasFull)
	}
	if !loaded && !loading {
		if s := b.loadTarget(now, f, req, firstReplica); s != nil {
			return b.explain(b.startLoad(now, f, req, s), reasonNoReplica)
		}
	}
	f.blockedAt = now
	return b.explain(hold, reasonAwaitsReplica)
}

// endReason returns why a request gets no further attempt; it is empty if the request may have one.
func (b *Balancer) endReason(now Micros, req *Request, t timing) Reason {
	attempts := len(req.Attempts)
	switch {
	case attempts > 0 && t.slack < 0: // a retry would add to the load that made it late
		return reasonRetryTooLate
	case req.overQuota:
		return reasonOverQuota
	case now >= t.latestStart:
		return reasonDeadlineTooClose
	case attempts >= b.deployment.MaxAttempts:
		return reasonNoAttemptsLeft
	case !b.mayRetry(now, req, nil):
		return reasonMayHaveRun
	}
	return ""
}

// forwardOrShed forwards a request to an instance with a free slot, unless the queue there would make it late. In an
// overload, least slack first would otherwise serve every request just too late: on a server that is at least half
// full, a request that the queue would make late gives way to those that can still be in time.
func (b *Balancer) forwardOrShed(now Micros, f *function, req *Request, inst *instance, t timing) Decision {
	s, queue := inst.server, inst.server.queueing.mean(now-1_000_000)*t.total/1000
	if b.loaded(now, inst) && t.slack < t.margin+queue && 2*s.running >= int(s.concurrencyLimit) {
		f.delays.add(now, t.total)
		return b.explain(b.rejectOrFail(req), reasonQueueTooLong)
	}
	d := b.forward(now, f, req, inst)
	inst.lastUsed = max(inst.lastUsed, now)
	return b.explain(d, reasonFullestInstance)
}

// replicaState reports whether a function has loaded replicas, and whether it has loading ones, on servers that are
// healthy and not overloaded.
func (b *Balancer) replicaState(now Micros, f *function) (loaded, loading bool) {
	for _, inst := range f.instances {
		if inst.server.healthy() && !b.overloaded(now, inst.server) {
			loaded = loaded || b.loaded(now, inst)
			loading = loading || b.loading(now, inst)
		}
	}
	return loaded, loading
}

// explain sets the reason for a decision, and records it if a trace is attached.
func (b *Balancer) explain(d Decision, reason Reason) Decision {
	d.reason = reason
	if b.trace != nil {
		b.trace.explanation.Reason = reason
	}
	return d
}

// fullestInstance returns the instance for a request, nil if none has a free slot: the fullest of the loaded instances
// with fewer attempts of this router in flight than lanes, otherwise the loaded one with the fewest free slots,
// otherwise one that is loading. Ties go to this router's zone, then to a random choice.
func (b *Balancer) fullestInstance(now Micros, f *function, req *Request) *instance {
	perLane := b.slotsPerLane(f, req)
	var best *instance
	var bestKey, ties int
	for _, inst := range f.instances {
		free := b.slots(now, inst, f, perLane) - inst.inFlight
		if free <= 0 || !b.usable(now, inst.server, req) {
			continue
		}
		key := inst.inFlight * 2
		if loaded := b.loaded(now, inst); loaded && inst.inFlight < f.lanes*inst.replicas {
			key += 1 << 30
		} else if loaded {
			key = 1<<28 - free*2
		}
		if inst.server.Zone == b.deployment.Zone {
			key++
		}
		if best == nil || key > bestKey {
			best, bestKey, ties = inst, key, 1
		} else if key == bestKey {
			if ties++; b.random.intN(ties) == 0 {
				best = inst
			}
		}
	}
	return best
}

// slotsPerLane returns B, the slots per lane: slack divided by execution time, at least 1.
func (b *Balancer) slotsPerLane(f *function, req *Request) float64 {
	exec := b.execTime(f, req)
	return max(1, float64(b.latencyObjective(req, exec)-exec)/float64(exec))
}

// slots returns how many slots an instance offers this router, those in use included.
func (b *Balancer) slots(now Micros, inst *instance, f *function, perLane float64) int {
	offered := 0
	if b.loaded(now, inst) {
		offered = max(1, int(perLane*float64(f.lanes*inst.replicas)/float64(b.deployment.Routers)))
	} else if b.loading(now, inst) {
		offered = f.lanes * inst.loading
	}
	s := inst.server
	if s.concurrencyLimit == 0 {
		// The initial limit is what one instance offers.
		s.concurrencyLimit = max(1, perLane*float64(f.lanes)/float64(b.deployment.Routers))
		b.index.markImpairedByLoad(now, s)
	}
	if b.overloaded(now, s) {
		return 0
	}
	return min(offered, inst.inFlight+int(s.concurrencyLimit)-s.running)
}

// forward records a new attempt of a request at an instance, and returns the decision to send it.
func (b *Balancer) forward(now Micros, f *function, req *Request, inst *instance) Decision {
	s := inst.server
	loaded := b.loaded(now, inst)
	req.Attempts = append(req.Attempts, Attempt{Server: s.Server, Zone: s.Zone, Cell: s.Cell, SentAt: now,
		MayHaveRun: true, toLoaded: loaded})
	if loaded {
		s.running++
		b.index.markImpairedByLoad(now, s)
	}
	s.inFlight = append(s.inFlight, inFlightAttempt{req, AttemptID(len(req.Attempts) - 1), now, loaded})
	b.index.busy = insertSorted(b.index.busy, s, byID)
	s.slowStartSends = append(dropBefore(s.slowStartSends, now-b.deployment.OverloadWindow), now)
	if s.ejected {
		s.probeAt = now + b.probeInterval(s)
	}
	inst.inFlight++
	return Decision{Action: Forward, Server: s.Server, Timeout: req.Deadline - now}
}

// unusableReason returns why a request may not go to a server; it is empty if the request may.
func (b *Balancer) unusableReason(now Micros, s *server, req *Request) UnusableReason {
	switch {
	case s.State != Ready:
		return unusableNotReady
	case now < s.backoffUntil:
		return unusableBackoff
	// An ejected server gets probe requests even without replicas; otherwise it would stay ejected.
	case s.ejected && now < s.probeAt:
		return unusableEjected
	case !b.mayRetry(now, req, s):
		return unusableNoRetry
	case !b.withinSlowStartBudget(now, s):
		return unusableSlowStart
	}
	return ""
}

// usable reports whether a request may go to a server at all.
func (b *Balancer) usable(now Micros, s *server, req *Request) bool {
	return b.unusableReason(now, s, req) == ""
}
