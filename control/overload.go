package control

// This file adapts the concurrency limits of servers, and sheds load when all of them are slow.

// adaptConcurrencyLimit lowers or raises a server's concurrency limit by the queueing delay of its latest answer, given
// in thousandths of the request's slack. Slots are counted for each function alone, but replicas share a server's
// cores. The limit guards against overload of a server from any cause: many functions on it, other routers, slow
// hardware, slow start, stalls.
//
// Its drawback: consecutive heavy requests look like a queue and lower the limit.
func (b *Balancer) adaptConcurrencyLimit(now Micros, s *server, queueingPermille Micros) {
	const maxQueueingPermille = 400 // leaves the rest of the slack for holding and for variance
	const decrease = 0.75           // shrinks a queue within the time of a few answers
	s.queueing.add(now, queueingPermille)
	b.queueing.add(now, queueingPermille)
	s.concurrencyLimit = max(0.5, s.concurrencyLimit)
	if now >= s.limitLoweredAt && s.queueing.mean(s.limitLoweredAt) > maxQueueingPermille {
		s.concurrencyLimit = max(1, min(s.concurrencyLimit, float64(s.running+1))*decrease)
		// The effect shows only in answers to attempts sent from now on.
		s.limitLoweredAt = now + quantile(b.latencies.since(0), 0.5)
	} else if float64(s.running+2) >= s.concurrencyLimit && now >= s.limitLoweredAt {
		s.concurrencyLimit += 1 / s.concurrencyLimit
	}
}

// overloaded reports whether a server gets no requests because of its load report or of the queueing delay there. This
// is needed where many routers share a server: each has at least one slot at a replica, so the replica is full for none
// of them, however long its queue. The check applies only where a server answers this router too rarely for its
// concurrency limit to adapt. Requests don't wait for replicas on an overloaded server either.
func (b *Balancer) overloaded(now Micros, s *server) bool {
	return b.observationTTL > rareAnswerInterval &&
		(s.reportsOverload(now, b.observationTTL) || s.queueing.mean(now-b.observationTTL) > maxQueueing)
}

// maxQueueing is the queueing delay, in thousandths of the requests' slack, above which a server is overloaded: a
// quarter of the slack. Two fifths of it perform worse.
const maxQueueing = 250

// reportsOverload reports whether a server's load report, if it is younger than maxAge, says that the server is
// overloaded.
func (s *server) reportsOverload(now, maxAge Micros) bool {
	// Above a utilization of 0.85 requests queue for cores, and most servers run no more than 4 loads at once. Lower
	// thresholds perform no better.
	return s.reportedAt > 0 && now < s.reportedAt+maxAge &&
		(s.report.Utilization > 0.85 || s.report.PendingLoads > 4)
}

// mayHaveLowWeight reports whether the load of a server lowers its weight, or may do so later without a further event:
// the mean of its queueing samples changes as the older ones expire.
func (s *server) mayHaveLowWeight(now Micros) bool {
	if s.crowded() || s.reportsOverload(now, maxObservationTTL) {
		return true
	}
	for i, v := range s.queueing.values {
		if v > maxQueueing && s.queueing.times[i] >= now-maxObservationTTL {
			return true
		}
	}
	return false
}

// mustShed reports whether to reject a new request because of the queueing delay of the latest requests on all servers.
// This is needed where answers are too rare for concurrency limits to adapt: otherwise every request may be answered
// just too late, in an overload that doesn't end.
func (b *Balancer) mustShed(now Micros) bool {
	// Any threshold from 150 to 400 performs as well as 250. At most half of the requests are shed.
	excess := quantile(b.queueing.since(now-b.observationTTL/2), 0.5) - 250
	return b.observationTTL > rareAnswerInterval && Micros(b.random.intN(1000)) < min(excess, 500)
}

// recordShed records a request that is rejected for lack of slack. The replica check counts it like a held one, see
// checkReplicas.
func (b *Balancer) recordShed(now, slack Micros, f *function) {
	f.delays.add(now, slack)
	f.shed.add(now, 1)
	if !f.checkPending {
		f.checkPending, b.pendingChecks = true, append(b.pendingChecks, f)
	}
}

// maxObservationTTL is the longest time that an observation of a server stays valid.
const maxObservationTTL = 8_000_000

// rareAnswerInterval is the interval between a server's answers above which its concurrency limit can't adapt. It is a
// few times the age of a load report.
const rareAnswerInterval = 2_000_000

// freeShare returns the free fraction of a server's concurrency limit.
func (s *server) freeShare() float64 {
	if s.concurrencyLimit == 0 {
		return 1
	}
	return max(0, 1-float64(s.running)/s.concurrencyLimit)
}

// crowded reports whether less than a quarter of a server's concurrency limit is free.
func (s *server) crowded() bool { return s.freeShare() < 0.25 }

// rejectionBackoff is the base of the exponential backoff after a rejection. Doubled, it is about the time in which a
// busy server completes a request.
const rejectionBackoff = 25_000
