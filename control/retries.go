package control

import "slices"

// Retries: what an outcome means for its request, and whether the request may be attempted again.

// SafeToRetryAnywhere reports whether a request that may have run can be sent again to any router and server without
// harm.
func (c Class) SafeToRetryAnywhere() bool {
	return c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && c.DedupScope == WholeFleet
}

// ProvesNotRun reports whether the result proves that the request did not run.
func (r Result) ProvesNotRun() bool {
	return r == Overloaded || r == ConnectFailed || r == NotSent || r == NotLoaded
}

// HandleOutcome records how an attempt ended and decides what happens to its request. It returns NoAction for an
// attempt that is already done, a server that is not known, and a request that is done.
func (b *Balancer) HandleOutcome(now Micros, req *Request, o Outcome) Decision {
	attempt := &req.Attempts[o.Attempt]
	s := b.servers.find(o.Server)
	if attempt.Done || s == nil {
		return Decision{Action: NoAction}
	}
	f := b.function(req)
	inst := f.instanceOn(s, true)
	attempt.Done = true
	attempt.MayHaveRun = !o.Result.ProvesNotRun()
	inst.inFlight = max(0, inst.inFlight-1)
	if attempt.toLoaded {
		s.running--
	}
	s.inFlight = slices.DeleteFunc(s.inFlight, func(a inFlightAttempt) bool {
		return a.request == req && a.attempt == o.Attempt
	})
	if len(s.inFlight) == 0 {
		b.index.busy = deleteSorted(b.index.busy, s, byID)
	}
	b.recordOutcome(now, f, inst, req, o)
	if o.RequestDone {
		b.Cancel(now, req)
		return Decision{Action: NoAction}
	}
	return b.Route(now, req)
}

// recordOutcome updates what is believed of the instance and its server, and the estimates.
func (b *Balancer) recordOutcome(now Micros, f *function, inst *instance, req *Request, o Outcome) {
	s, attempt := inst.server, &req.Attempts[o.Attempt]
	f.blockedAt = 0
	if o.Report != nil {
		s.report, s.reportedAt = *o.Report, now
	}
	switch o.Result {
	case Succeeded, Failed, Overloaded, NotLoaded:
		b.answered(now, s)
	case ConnectionReset, ConnectFailed:
		b.connectionFailed(now, s)
	}
	switch {
	case o.CacheStatus == CacheLoadFailed || o.Result == NotLoaded:
		inst.replicas, inst.loading = 0, 0
	// A server that fails fast would otherwise look emptier and emptier.
	case o.Result == Overloaded || o.Result == Failed && attempt.toLoaded:
		if !attempt.toLoaded {
			inst.loading, s.loadsAfter = 0, now+loadBackoff // its load queue or memory is full
			break
		}
		b.recordRejection(now, inst)
	case o.Result == Succeeded:
		b.recordSuccess(now, f, inst, req, o)
	}
	b.index.noteLoad(now, s)
}

// recordRejection backs off from the instance's server. It guards against a server that rejects everything, because
// it is full or drains before the endpoint list says so: its backoff doubles with each rejection, and soon its
// replicas don't count as capacity.
func (b *Balancer) recordRejection(now Micros, inst *instance) {
	s := inst.server
	if s.rejections++; inst.inFlight == 0 {
		inst.replicas = 0 // no attempt of this router runs there: the replica may have been evicted
	}
	s.backoffUntil = now + rejectionBackoff<<min(s.rejections, 5)
	b.index.markImpaired(s)
	b.adaptConcurrencyLimit(now, s, 1000)
}

// recordSuccess updates the estimates by an answer from a loaded replica, or the load time by one that waited for a
// load.
func (b *Balancer) recordSuccess(now Micros, f *function, inst *instance, req *Request, o Outcome) {
	s, toLoaded := inst.server, req.Attempts[o.Attempt].toLoaded
	b.countAnswer(now, s)
	s.rejections = 0
	inst.lastUsed = now
	exec := b.execTime(f, req)
	if o.CacheStatus == CacheHit || o.CacheStatus == CacheUnknown && toLoaded {
		f.execTimes.add(now, o.Duration)
		b.execTimes[req.Class].add(now, o.Duration)
		b.adaptConcurrencyLimit(now, s, max(0, o.Duration-exec)*1000/max(1, b.latencyObjective(req, exec)-exec))
		b.latencies.add(now, o.Duration)
		f.delays.add(now, req.heldFor+max(0, o.Duration-exec))
	} else if o.CacheStatus == CacheMiss || o.CacheStatus == CacheUnknown && o.Duration > 3*exec {
		// With an unknown status only a slow answer counts as a miss: a quicker one found a loaded replica.
		b.loadTimes.add(now, max(1, o.Duration-exec))
	}
	if inst.replicas == 0 {
		inst.replicas, inst.loading = 1, max(0, inst.loading-1)
	}
}

// mayRetry reports whether the request may be attempted (on server s, unless s is nil) after its earlier attempts. If
// one of them may have run, the request must be idempotent; if it is idempotent by key, the server must be in the
// scope of the earlier attempt, and within the window in which that scope remembers the key, less a margin for the
// network.
func (b *Balancer) mayRetry(now Micros, req *Request, s *server) bool {
	class := b.deployment.Classes[req.Class]
	const networkMargin = 50_000 // far longer than the way from a router to a server
	for _, a := range req.Attempts {
		outOfScope := s != nil &&
			(class.DedupScope == OneZone && a.Zone != s.Zone || class.DedupScope == OneCell && a.Cell != s.Cell)
		expired := now+networkMargin >= a.SentAt+class.DedupWindow
		if a.MayHaveRun &&
			(class.Idempotency == NonIdempotent || class.Idempotency == IdempotentByKey && (outOfScope || expired)) {
			return false
		}
	}
	return true
}

// giveUp ends a request. It rejects it if the client can retry it safely, else it fails it.
func (b *Balancer) giveUp(req *Request) Decision {
	for _, a := range req.Attempts {
		if a.MayHaveRun && !b.deployment.Classes[req.Class].SafeToRetryAnywhere() {
			return Decision{Action: Fail}
		}
	}
	return Decision{Action: Reject, RetryAfter: b.deployment.MaxRetryAfter}
}

// Cancel records that a request is done, and cancels its attempts in flight.
func (b *Balancer) Cancel(now Micros, req *Request) {
	if req.held {
		req.held = false
		b.function(req).held--
	}
	for i, a := range req.Attempts {
		if !a.Done {
			b.cancelAttempt(req, AttemptID(i))
		}
	}
}

// cancelAttempt queues the cancellation of an attempt, once, if the deployment supports that. Maintain returns it.
func (b *Balancer) cancelAttempt(req *Request, id AttemptID) {
	if a := &req.Attempts[id]; b.deployment.SupportsCancel && !a.cancelling {
		a.cancelling, b.cancellations = true, append(b.cancellations, Cancellation{req.ID, id})
	}
}
