package control

import "slices"

// Retries: what an outcome means for its request, and whether it may be attempted again.

// SafeToRetryAnywhere tells whether a job that may have run does no harm if its client sends it again, to whichever router and server.
func (w Class) SafeToRetryAnywhere() bool {
	return w.Effect == Idempotent || w.Effect == IdempotentByKey && w.Scope == WholeFleet
}

// ProvesNotRun tells whether a result proves that the job did not run.
func (r Result) ProvesNotRun() bool {
	return r == Overloaded || r == ConnectFailed || r == NotSent || r == NotLoaded
}

// HandleOutcome takes in how an execution ended and answers what to do with its job.
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
	case o.Result == Overloaded || o.Result == Failed && e.toLoaded: // one that errs at once looks ever emptier
		if !e.toLoaded {
			in.loading, s.loadsAfter = 0, now+loadBackoff // its loads queue is full, or there is no memory
			break
		}
		// Guards against a server that turns all away, full or draining before the list says so: each time
		// without an answer between it is left alone for longer, and soon its copies count for nothing.
		if s.rejections++; in.inFlight == 0 {
			in.replicas = 0 // none of ours runs there: the copy may have made way for others
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
		} else if o.CacheStatus == CacheMiss || o.CacheStatus == CacheUnknown && o.Duration > 3*exec { // a quicker one found a copy
			r.loadTimes.add(now, max(1, o.Duration-exec))
		}
		if in.replicas == 0 {
			in.replicas, in.loading = 1, max(0, in.loading-1)
		}
	}
}

// mayRetry keeps the second rule: an execution that may have run allows another only where repeats do no
// harm; for a fingerprinted job only inside its group (of the server s, where one is meant) and while that
// still remembers it, less a margin for the way there.
func (r *Balancer) mayRetry(now Micros, j *Request, s *server) bool {
	w := r.deployment.Classes[j.Class]
	const travel = 50_000 // far longer than any hop between router and server
	for _, e := range j.Attempts {
		outside := s != nil && (w.Scope == OneZone && e.Zone != s.Zone || w.Scope == OneCell && e.Cell != s.Cell)
		forgotten := now+travel >= e.SentAt+w.Window
		if e.MayHaveRun && (w.Effect == NonIdempotent || w.Effect == IdempotentByKey && (outside || forgotten)) {
			return false
		}
	}
	return true
}

// giveUp ends a job: pushed back where that promise holds, else killed.
func (r *Balancer) giveUp(j *Request) Decision {
	for _, e := range j.Attempts {
		if e.MayHaveRun && !r.deployment.Classes[j.Class].SafeToRetryAnywhere() {
			return Decision{Action: Fail}
		}
	}
	return Decision{Action: Reject, RetryAfter: r.deployment.MaxRetryAfter}
}

// Cancel takes in that a job is over: what is still out for it is called off.
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

func (r *Balancer) cancelAttempt(j *Request, no AttemptID) {
	if e := &j.Attempts[no]; r.deployment.SupportsCancel && !e.cancelling {
		e.cancelling, r.cancellations = true, append(r.cancellations, Cancellation{j.ID, no})
	}
}
