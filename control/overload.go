package control

// Overload: how much a server bears at once, and what is shed when all are slow.

// adaptConcurrencyLimit narrows or widens how much of ours a server bears at once, by the part of their slack that its last
// jobs spent queueing there: the design counts slots for each function alone, but copies share a server's
// cores. Guards against crowding from any cause: many functions on one server, other routers, a slow or cold
// machine, stalls. It harms where one heavy job after another looks like a queue.
func (r *Balancer) adaptConcurrencyLimit(now Micros, s *server, strain Micros) {
	const most = 400      // thousandths: leaves the rest of the slack for holding here and for chance
	const narrower = 0.75 // sheds a queue within a few answers' time
	s.queueing.add(now, strain)
	r.queueing.add(now, strain)
	s.concurrencyLimit = max(0.5, s.concurrencyLimit)
	if now >= s.limitLoweredAt && s.queueing.mean(s.limitLoweredAt) > most {
		s.concurrencyLimit = max(1, min(s.concurrencyLimit, float64(s.running+1))*narrower)
		s.limitLoweredAt = now + quantile(r.latencies.since(0), 0.5) // the effect shows in answers to later sends
	} else if float64(s.running+2) >= s.concurrencyLimit && now >= s.limitLoweredAt {
		s.concurrencyLimit += 1 / s.concurrencyLimit
	}
}

// overloaded tells whether a server is to be left alone for its report or the queueing of our jobs there. Guards
// against the floor of one slot, at which a copy is full for none of many routers however long its queue. It
// acts only where a server's answers to us are too rare for a window; copies there then hold no jobs either.
func (r *Balancer) overloaded(now Micros, s *server) bool {
	// Above 0.85 jobs wait for cores; 5 loads are more than most run at once. Lower bounds brought nothing.
	told := s.reportedAt > 0 && now < s.reportedAt+r.freshFor && (s.report.Utilization > 0.85 || s.report.PendingLoads > 4)
	return r.freshFor > rareAnswers && (told || s.queueing.mean(now-r.freshFor) > 250) // a quarter of slack: beats two fifths
}

// mustShed tells whether a job is turned away for the queueing that our last ones met on any server. Guards
// against a standing overload that answers every job just too late, where answers are too rare for windows.
func (r *Balancer) mustShed(now Micros) bool {
	over := quantile(r.queueing.since(now-r.freshFor/2), 0.5) - 250 // between 150 and 400, as good; half is shed
	return r.freshFor > rareAnswers && Micros(r.random.below(1000)) < min(over, 500)
}

// noteShed notes a job that is pushed back for want of slack: the check counts it, see there.
func (r *Balancer) noteShed(now, whole Micros, f *function) {
	f.delays.add(now, whole)
	f.shed.add(now, 1)
	if !f.waiting {
		f.waiting, r.waiting = true, append(r.waiting, f)
	}
}

// updateAnswerRate works out what one server's answers are too few for: our share of the answers a second of a warm
// server, and for how long what was seen of a server counts, until about when its next answer to us is due.
func (r *Balancer) updateAnswerRate(now Micros) {
	const over = 10_000_000 // some tens of answers even where a router sees a few jobs a second
	r.answers = dropBefore(r.answers, now-over)
	// Refusing or suspect ones too: they must not make the rest look able to more.
	servers := r.totalCapacity(now)
	seen := min(over, max(over/10, now-r.startedAt)) // a router that started just now
	r.answerRate = float64(len(r.answers)) * 1e6 / float64(seen) / max(1, servers)
	r.freshFor = Micros(min(8e6, max(rareAnswers, 1e6/max(0.01, r.answerRate))))
}

const rareAnswers = 2_000_000 // between a server's answers to us; a few times a report's own age

// freeShare is the share of a server's window that is free.
func (s *server) freeShare() float64 {
	if s.concurrencyLimit == 0 {
		return 1
	}
	return max(0, 1-float64(s.running)/s.concurrencyLimit)
}

const rejectionBackoff = 25_000 // doubled, about the time in which a busy server ends a job
