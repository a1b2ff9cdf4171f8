package control

import "slices"

// Retries: what an outcome means for its request, and whether the request may be attempted again.

// SafeToRetryAnywhere reports whether a request that may have run can be sent again to any router and server without
// harm.
func (w Class) SafeToRetryAnywhere() bool {
	return w.Effect == Idempotent || w.Effect == IdempotentByKey && w.Scope == WholeFleet
}

// ProvesNotRun reports whether the result proves that the request did not run.
func (r Result) ProvesNotRun() bool {
	return r == Overloaded || r == ConnectFailed || r == NotSent || r == NotLoaded
}

// HandleOutcome records how an attempt ended and decides what happens to its request. It returns NoAction for an
// attempt that is already done, a server that is not known, and a request that is done.
func (r *Balancer) HandleOutcome(now Micros, j *Request, o Outcome) Decision {
	e := &j.Attempts[o.Attempt]
	i, known := r.find(o.Server)
	if e.Done || !known {
		return Decision{Action: NoAction}
	}
	f, s := r.function(j), r.servers[i]
	in := f.instanceOn(s, true)
	e.Done = true
	e.MayHaveRun = !o.Result.ProvesNotRun()
	in.inFlight = max(0, in.inFlight-1)
	if e.toLoaded {
		s.running--
	}
	s.inFlight = slices.DeleteFunc(s.inFlight, func(fl inFlightAttempt) bool { return fl.request == j && fl.attempt == o.Attempt })
	if len(s.inFlight) == 0 {
		r.index.busy = deleteSorted(r.index.busy, s, byID)
	}
	r.recordOutcome(now, f, in, j, o)
	if o.RequestDone {
		r.Cancel(now, j)
		return Decision{Action: NoAction}
	}
	return r.Route(now, j)
}

// recordOutcome updates what is believed of the instance and its server, and the estimates.
func (r *Balancer) recordOutcome(now Micros, f *function, in *instance, j *Request, o Outcome) {
	s, e := in.server, &j.Attempts[o.Attempt]
	f.blockedAt = 0
	if o.Report != nil {
		s.report, s.reportedAt = *o.Report, now
	}
	switch o.Result {
	case Succeeded, Failed, Overloaded, NotLoaded:
		r.answered(now, s)
	case ConnectionReset, ConnectFailed:
		r.connectionFailed(now, s)
	}
	switch {
	case o.CacheStatus == CacheLoadFailed || o.Result == NotLoaded:
		in.replicas, in.loading = 0, 0
	// A server that fails fast would otherwise look emptier and emptier.
	case o.Result == Overloaded || o.Result == Failed && e.toLoaded:
		if !e.toLoaded {
			in.loading, s.loadsAfter = 0, now+loadBackoff // its load queue or memory is full
			break
		}
		// Guards against a server that rejects everything, because it is full or drains before the endpoint list
		// says so: its backoff doubles with each rejection, and soon its replicas don't count as capacity.
		if s.rejections++; in.inFlight == 0 {
			in.replicas = 0 // no attempt of this router runs there: the replica may have been evicted
		}
		s.backoffUntil = now + rejectionBackoff<<min(s.rejections, 5)
		r.index.markQuestionable(s)
		r.adaptConcurrencyLimit(now, s, 1000)
	case o.Result == Succeeded:
		r.answers, s.rejections = append(r.answers, now), 0
		in.lastUsed = now
		exec := r.execTime(f, j)
		if o.CacheStatus == CacheHit || o.CacheStatus == CacheUnknown && e.toLoaded {
			f.execTimes.add(now, o.Duration)
			r.execTimes[j.Class].add(now, o.Duration)
			r.adaptConcurrencyLimit(now, s, max(0, o.Duration-exec)*1000/max(1, r.latencyObjective(j, exec)-exec))
			r.latencies.add(now, o.Duration)
			f.delays.add(now, j.heldFor+max(0, o.Duration-exec))
		} else if o.CacheStatus == CacheMiss || o.CacheStatus == CacheUnknown && o.Duration > 3*exec {
			// With an unknown status only a slow answer counts as a miss: a quicker one found a loaded replica.
			r.loadTimes.add(now, max(1, o.Duration-exec))
		}
		if in.replicas == 0 {
			in.replicas, in.loading = 1, max(0, in.loading-1)
		}
	}
}

// mayRetry reports whether the request may be attempted (on server s, unless s is nil) after its earlier attempts. If
// one of them may have run, the request must be idempotent; if it is idempotent by key, the server must be in the
// scope of the earlier attempt, and within the window in which that scope remembers the key, less a margin for the
// network.
func (r *Balancer) mayRetry(now Micros, j *Request, s *server) bool {
	w := r.deployment.Classes[j.Class]
	const travel = 50_000 // far longer than the way from a router to a server
	for _, e := range j.Attempts {
		outside := s != nil && (w.Scope == OneZone && e.Zone != s.Zone || w.Scope == OneCell && e.Cell != s.Cell)
		forgotten := now+travel >= e.SentAt+w.Window
		if e.MayHaveRun && (w.Effect == NonIdempotent || w.Effect == IdempotentByKey && (outside || forgotten)) {
			return false
		}
	}
	return true
}

// giveUp ends a request. It rejects it if the client can retry it safely, else it fails it.
func (r *Balancer) giveUp(j *Request) Decision {
	for _, e := range j.Attempts {
		if e.MayHaveRun && !r.deployment.Classes[j.Class].SafeToRetryAnywhere() {
			return Decision{Action: Fail}
		}
	}
	return Decision{Action: Reject, RetryAfter: r.deployment.MaxRetryAfter}
}

// Cancel records that a request is done, and cancels its attempts in flight.
func (r *Balancer) Cancel(now Micros, j *Request) {
	if j.held {
		j.held = false
		r.function(j).held--
	}
	for i, e := range j.Attempts {
		if !e.Done {
			r.cancelAttempt(j, AttemptID(i))
		}
	}
}

// cancelAttempt queues the cancellation of an attempt, once, if the deployment supports that. Maintain returns it.
func (r *Balancer) cancelAttempt(j *Request, no AttemptID) {
	if e := &j.Attempts[no]; r.deployment.SupportsCancel && !e.cancelling {
		e.cancelling, r.cancellations = true, append(r.cancellations, Cancellation{j.ID, no})
	}
}
