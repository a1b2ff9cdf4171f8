package control

import "slices"

// This file decides which instance a request is forwarded to, and when it is held or ended.

// Rank returns the key by which callers order pending requests, lowest first: the time at which the request's
// slack ends.
func (r *Balancer) Rank(_ Micros, j *Request) Micros {
	return j.ArrivedAt + r.slack(j, r.execTime(r.function(j), j))
}

// slack returns how long a request may wait without missing its latency objective or its deadline.
func (r *Balancer) slack(j *Request, exec Micros) Micros {
	return max(0, min(r.latencyObjective(j, exec), j.Deadline-j.ArrivedAt)-exec)
}

// Route decides whether a request is forwarded, held, or ended. The caller asks again when the state has changed,
// at the latest at the decision's RecheckAt.
func (r *Balancer) Route(now Micros, j *Request) Decision {
	f := r.function(j)
	if !j.admitted {
		j.admitted, j.firstSentAt, j.overQuota = true, r.firstSentAt(now, j), r.mustShed(now) || r.exceedsQuota(now, j)
		// Large enough to resolve a function's share of the requests to within a few hundredths.
		const last = 128
		r.recent = append(r.recent, f)
		if f.recent++; len(r.recent) > last {
			r.recent[0].recent, r.recent = r.recent[0].recent-1, r.recent[1:]
		}
		if r.deployment.LoadRateWindow > 0 {
			r.admitted = append(r.admitted, now)
		}
	}
	if r.trace != nil {
		r.trace.begin(r, now, f, j)
	}
	p := r.decide(now, f, j)
	if r.trace != nil {
		r.trace.end(p)
	}
	// A request ends before its deadline, whatever it waits for (rule 1 of docs/design.md).
	p.RecheckAt = min(p.RecheckAt, j.Deadline-2*r.deployment.Tick)
	if hold := p.Action == Hold; hold != j.held {
		if hold {
			if f.held++; f.held == 1 {
				f.heldSince = now
			}
			if !f.waiting {
				f.waiting, r.waiting = true, append(r.waiting, f)
			}
			j.heldSince = now
		} else {
			f.held--
			j.heldFor += now - j.heldSince
		}
		j.held = hold
	}
	return p
}

func (r *Balancer) decide(now Micros, f *function, j *Request) Decision {
	if slices.ContainsFunc(j.Attempts, func(e Attempt) bool { return !e.Done }) {
		return r.explain(Decision{Action: NoAction}, "an execution is out")
	}
	exec := r.execTime(f, j)
	whole := r.slack(j, exec)
	slack, margin := j.firstSentAt+whole-now, min(exec, whole/2) // the margin admits every new request
	if j.IsRetry {
		slack = 0 // used up by the client's first attempt
	}
	// An attempt started later can't end before the deadline.
	last := j.Deadline - exec/2 - 2*r.deployment.Tick
	tries := len(j.Attempts)
	if r.trace != nil {
		r.trace.explanation.Slack, r.trace.explanation.Margin, r.trace.explanation.LatestStart = slack, margin, last
	}
	over := ""
	switch {
	// A retry would add to the load that made it late.
	case tries > 0 && slack < 0:
		over = "it ran once and has no slack left"
	case j.overQuota:
		over = "it is beyond its tenant's share, or shed"
	case now >= last:
		over = "it can't end within its client's patience"
	case tries >= r.deployment.MaxAttempts:
		over = "it had all its executions"
	case !r.mayRetry(now, j, nil):
		over = "an earlier execution may have run"
	}
	if over != "" {
		return r.explain(r.giveUp(j), over)
	}
	p := Decision{Action: Hold, Rank: j.ArrivedAt + whole, RecheckAt: min(now+maintenanceInterval, last)}
	if f.blockedAt == now && slack >= margin && tries == 0 {
		// A request with less slack found no instance in this event-loop iteration. Skipping the rest bounds the
		// work of an iteration with many held requests.
		return r.explain(p, "another job for its function found no place in this turn")
	}
	if in := r.fullestInstance(now, f, j); in != nil {
		// Guards against an overload in which least-slack-first serves every request just too late: where a server
		// is half full, a request that its queue would make late yields to those that can still be in time.
		s, queue := in.server, in.server.queueing.mean(now-1_000_000)*whole/1000
		if r.loaded(now, in) && slack < margin+queue && 2*s.running >= int(s.concurrencyLimit) {
			f.delays.add(now, whole)
			return r.explain(r.giveUp(j), "the queue at its instance would make it late")
		}
		p := r.forward(now, f, j, in)
		in.lastUsed = max(in.lastUsed, now)
		return r.explain(p, "the fullest instance with room")
	}
	if f.loadsDue > 0 {
		if s := r.loadTarget(now, f, j, true); s != nil {
			f.loadsDue--
			return r.explain(r.startLoad(now, f, j, s), "the last check asked for another copy")
		}
	}
	stands, comes := false, false
	for _, in := range f.instances {
		if in.server.healthy() && !r.overloaded(now, in.server) {
			stands = stands || r.loaded(now, in)
			comes = comes || r.loading(now, in)
		}
	}
	if stands && slack < margin && !comes {
		r.noteShed(now, whole, f)
		return r.explain(r.giveUp(j), "its copies are there and full, and it has no slack") // same guard as above
	} else if !stands && !comes {
		if s := r.loadTarget(now, f, j, false); s != nil {
			return r.explain(r.startLoad(now, f, j, s), "no copy stands or comes")
		}
	}
	f.blockedAt = now
	return r.explain(p, "it waits for a copy")
}

// explain records the reason for a decision if a trace is attached.
func (r *Balancer) explain(p Decision, by string) Decision {
	if r.trace != nil {
		r.trace.explanation.Reason = by
	}
	return p
}

// fullestInstance picks the instance for a request, nil if none has a free slot: among loaded instances with fewer
// of our attempts in flight than lanes the fullest, otherwise the loaded one with the fewest free slots, otherwise
// one that is loading. Ties go to our own zone, then to a random choice.
func (r *Balancer) fullestInstance(now Micros, f *function, j *Request) *instance {
	perLane := r.slotsPerLane(f, j)
	var best *instance
	var bestKey, ties int
	for _, in := range f.instances {
		free := r.slots(now, in, f, perLane) - in.inFlight
		if free <= 0 || !r.usable(now, in.server, j) {
			continue
		}
		key := in.inFlight * 2
		if warm := r.loaded(now, in); warm && in.inFlight < f.lanes*in.replicas {
			key += 1 << 30
		} else if warm {
			key = 1<<28 - free*2
		}
		if in.server.Zone == r.deployment.Zone {
			key++
		}
		if best == nil || key > bestKey {
			best, bestKey, ties = in, key, 1
		} else if key == bestKey {
			if ties++; r.random.below(ties) == 0 {
				best = in
			}
		}
	}
	return best
}

// slotsPerLane returns B, the slots per lane: slack divided by execution time, at least 1.
func (r *Balancer) slotsPerLane(f *function, j *Request) float64 {
	exec := r.execTime(f, j)
	return max(1, float64(r.latencyObjective(j, exec)-exec)/float64(exec))
}

// slots returns how many slots an instance offers this router, those in use included.
func (r *Balancer) slots(now Micros, in *instance, f *function, perLane float64) int {
	offered := 0
	if r.loaded(now, in) {
		offered = max(1, int(perLane*float64(f.lanes*in.replicas)/float64(r.deployment.Routers)))
	} else if r.loading(now, in) {
		offered = f.lanes * in.loading
	}
	s := in.server
	if s.concurrencyLimit == 0 {
		// The initial limit is what one instance offers.
		s.concurrencyLimit = max(1, perLane*float64(f.lanes)/float64(r.deployment.Routers))
	}
	if r.overloaded(now, s) {
		return 0
	}
	return min(offered, in.inFlight+int(s.concurrencyLimit)-s.running)
}

func (r *Balancer) forward(now Micros, f *function, j *Request, in *instance) Decision {
	s := in.server
	warm := r.loaded(now, in)
	j.Attempts = append(j.Attempts, Attempt{Server: s.Server, Zone: s.Zone, Cell: s.Cell, SentAt: now,
		MayHaveRun: true, toLoaded: warm})
	if warm {
		s.running++
	}
	s.inFlight = append(s.inFlight, inFlightAttempt{j, AttemptID(len(j.Attempts) - 1), now, warm})
	r.index.busy = insertSorted(r.index.busy, s, byID)
	s.slowStartSends = append(dropBefore(s.slowStartSends, now-r.deployment.OverloadWindow), now)
	if s.ejected {
		s.probeAt = now + r.probeInterval(s)
	}
	in.inFlight++
	return Decision{Action: Forward, Server: s.Server, Timeout: j.Deadline - now}
}

// unusableReason tells why a request may not go to a server; it is empty if the request may.
func (r *Balancer) unusableReason(now Micros, s *server, j *Request) string {
	switch {
	case s.State != Ready:
		return "drains or is gone"
	case now < s.backoffUntil:
		return "refused lately"
	// An ejected server without replicas gets probe requests, or it would stay ejected.
	case s.ejected && now < s.probeAt:
		return "is suspect, and no trial is due"
	case !r.mayRetry(now, j, s):
		return "is outside the job's group or window"
	case !r.withinSlowStartBudget(now, s):
		return "is cold, and its budget is used up"
	}
	return ""
}

// usable reports whether a request may go to a server at all.
func (r *Balancer) usable(now Micros, s *server, j *Request) bool {
	return r.unusableReason(now, s, j) == ""
}
