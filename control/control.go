// Package control decides where each job of functions that are loaded on demand goes. The mechanism is
// Fifer's, as docs/design.md tells it.
//
// The router calls Start once and from then on tells what it hears: Listed, Loaded, Left. It asks
// three things: Place, where to send this job (or not yet, or never); After, what to do after this
// outcome; Wait, how long to wait until the next upkeep, and what falls due now. In each turn it asks Place
// for all jobs in hand, lowest Rank first. The values that go to and fro are in types.go, state in state.go.
package control

import (
	"cmp"
	"math"
	"slices"
)

// New gives a router that knows only what it is told.
func New(now Micros, seed uint64, told Deployment) *Balancer {
	return &Balancer{deployment: told, random: pcg(seed), startedAt: now, functions: map[FunctionID]*function{},
		execTimes: make([]samples, len(told.Classes)), deadlines: make([]samples, len(told.Classes)),
		quotaDebt: make([]Micros, len(told.Quotas))}
}

// ApplyLearned takes back what an earlier life remembered; call it after Start, before all else. What limits us
// counts whatever its age, an order or a job sent at a time still to come as now: it may be fresh. Beliefs count
// for as long as they would have. How long executions and loads take is no part of it (docs/memory.md).
func (r *Balancer) ApplyLearned(now Micros, m *LearnedState) {
	const lately = 60_000_000 // six times as long as answers count
	r.loadCommands, r.admitted = clampTo(m.LoadCommands, now), dropAfter(m.Admitted, now)
	if now >= m.SavedAt && now < m.SavedAt+lately {
		r.answers, r.startedAt = dropAfter(m.Answers, now), min(now, m.StartedAt)
	}
	for i := range min(len(r.quotaDebt), len(m.QuotaDebt)) {
		r.quotaDebt[i] = min(m.QuotaDebt[i], now+2_000_000) // see surplus
	}
	for _, v := range m.Servers {
		r.servers = append(r.servers, &server{Endpoint: Endpoint{Server: v.Server, StartedAt: min(v.StartedAt, now)}, lastListed: now,
			lastAnswer: now, slowStartSends: clampTo(v.SlowStartSends, now)})
	}
	for _, v := range m.Functions {
		f := r.function(&Request{Function: v.ID, Lanes: v.Lanes})
		for _, c := range v.Instances {
			if i, known := r.find(c.Server); known && max(c.LastUsed, c.LoadingSince) <= now {
				in := instance{server: r.servers[i], replicas: c.Replicas, lastUsed: c.LastUsed, loading: c.Loading, loadingSince: c.LoadingSince}
				if r.loaded(now, &in) || r.loading(now, &in) {
					*f.instanceOn(in.server, true) = in
				}
			}
		}
	}
	r.rebuildIndex()
}

// UpdateEndpoints takes in the list of servers. A later start than the one known means an empty, cold server.
func (r *Balancer) UpdateEndpoints(now Micros, kind UpdateKind, list []Endpoint) {
	if kind == FailedUpdate {
		r.subscribed = false
		return
	}
	before := r.index.listedAt
	r.index.listedAt = now
	if kind != IncrementalUpdate {
		for _, s := range r.servers {
			s.listed = false
		}
	}
	for _, l := range list {
		i, known := r.find(l.Server)
		if !known {
			r.addServer(i, &server{Endpoint: Endpoint{Server: l.Server}, lastAnswer: now})
		}
		s := r.servers[i]
		if known && l.StartedAt > s.StartedAt {
			r.dropInstances(s, l.StartedAt)
			s.ejected, s.ejections, s.rejections, s.concurrencyLimit = false, 0, 0, 0
		}
		s.Endpoint, s.listed = l, true
	}
	if kind == IncrementalUpdate {
		for _, l := range list {
			i, _ := r.find(l.Server)
			r.reindexServer(before, r.servers[i])
		}
		return
	}
	for _, s := range r.servers {
		if !s.listed {
			s.State = Removed
		}
		r.reindexServer(before, s)
	}
}

// dropInstances drops the beliefs about a server's copies that are older than its start: a restart holds nothing.
func (r *Balancer) dropInstances(s *server, born Micros) {
	for _, f := range s.functions {
		if in := f.instanceOn(s, false); in != nil && max(in.lastUsed, in.loadingSince) < born {
			in.replicas, in.loading = 0, 0
		}
	}
}

// execTime is the function's execution time: the hint, else a mean of its last warm answers that leaves out
// the far tail, so that a few heavy jobs don't distort B; with too few, its workload's.
func (r *Balancer) execTime(f *function, j *Request) Micros {
	if j.Work > 0 {
		return j.Work
	}
	const enough = 3 // a mean of fewer is mostly the luck of one job
	s := &f.execTimes
	if s.n < enough {
		if s = &r.execTimes[j.Class]; s.n < enough {
			return r.deployment.Classes[j.Class].LatencyObjective / 4 // before any answer: a guess that leaves B at 3
		}
	}
	sorted := s.since(0)
	far := 4 * quantile(sorted, 0.5) // an exponential's tail beyond 4 medians is 1 in 16
	n, _ := slices.BinarySearch(sorted, far+1)
	return max(1, mean(sorted[:n]))
}

// loadTime is how long a load takes: the hint, else the mean of recent loads, with none the start target.
func (r *Balancer) loadTime(j *Request) Micros {
	if j != nil && j.LoadTime > 0 {
		return j.LoadTime
	}
	return cmp.Or(r.loadTimes.mean(0), r.deployment.Classes[0].LatencyObjective)
}

// slotsPerLane is B, the slots of a lane: slack over execution time, at least 1.
func (r *Balancer) slotsPerLane(f *function, j *Request) float64 {
	exec := r.execTime(f, j)
	return max(1, float64(r.latencyObjective(j, exec)-exec)/float64(exec))
}

// loaded tells whether the copies are believed loaded: the belief fades after the told least keep-alive.
func (r *Balancer) loaded(now Micros, in *instance) bool {
	return in.replicas > 0 && (in.inFlight > 0 || now < in.lastUsed+r.deployment.KeepAlive)
}

// loading tells whether copies are believed under way. Guards against a load that nobody ever reports: after
// four times the usual it is taken as lost.
func (r *Balancer) loading(now Micros, in *instance) bool {
	return in.loading > 0 && now < in.loadingSince+4*r.loadTime(nil)
}

// slots is what an instance offers this router.
func (r *Balancer) slots(now Micros, in *instance, f *function, perLane float64) int {
	offered := 0
	if r.loaded(now, in) {
		offered = max(1, int(perLane*float64(f.lanes*in.replicas)/float64(r.deployment.Routers)))
	} else if r.loading(now, in) {
		offered = f.lanes * in.loading
	}
	s := in.server
	if s.concurrencyLimit == 0 {
		s.concurrencyLimit = max(1, perLane*float64(f.lanes)/float64(r.deployment.Routers)) // at first, as one instance offers
	}
	if r.overloaded(now, s) {
		return 0
	}
	return min(offered, in.inFlight+int(s.concurrencyLimit)-s.running)
}

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

// Rank orders the jobs in hand: least slack first.
func (r *Balancer) Rank(_ Micros, j *Request) Micros {
	return j.ArrivedAt + r.slack(j, r.execTime(r.function(j), j))
}

// slack is the time that a job can spare: before its start target, and before its client gives up.
func (r *Balancer) slack(j *Request, exec Micros) Micros {
	return max(0, min(r.latencyObjective(j, exec), j.Deadline-j.ArrivedAt)-exec)
}

// Route answers where to send a job, or not yet, or never.
func (r *Balancer) Route(now Micros, j *Request) Decision {
	f := r.function(j)
	if !j.admitted {
		j.admitted, j.firstSentAt, j.overQuota = true, r.firstSentAt(now, j), r.mustShed(now) || r.exceedsQuota(now, j)
		const last = 128 // tells a function's part of the jobs to a few hundredths
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
	p.RecheckAt = min(p.RecheckAt, j.Deadline-2*r.deployment.Tick) // rule 1, whatever the job waits for
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

// firstSentAt is when the client first asked. Guards against later tries, marked or not, that take the place of
// jobs that can still be in time: a patience shorter than usual is what earlier tries have left. It harms
// clients that are hasty by nature, so from clients that mark repeats only the mark counts.
func (r *Balancer) firstSentAt(now Micros, j *Request) Micros {
	usual, patience := &r.deadlines[j.Class], j.Deadline-now
	usual.add(now, patience)
	if (!r.deployment.MarksRetries || j.RetriesUnmarked) && patience < quantile(usual.since(0), 0.8)-30_000 { // the way here: a few ms
		return min(j.ArrivedAt, j.Deadline-r.deployment.Classes[j.Class].MaxDeadline)
	}
	return j.ArrivedAt
}

// mustShed tells whether a job is turned away for the queueing that our last ones met on any server. Guards
// against a standing overload that answers every job just too late, where answers are too rare for windows.
func (r *Balancer) mustShed(now Micros) bool {
	over := quantile(r.queueing.since(now-r.freshFor/2), 0.5) - 250 // between 150 and 400, as good; half is shed
	return r.freshFor > rareAnswers && Micros(r.random.below(1000)) < min(over, 500)
}

// exceedsQuota tells whether a hasty job lies beyond its tenant's told share, as far as this router sees. Guards
// against clients that wait less than the start target and ask again at once: their tries run on without them
// and take the place of the rest. It harms a hasty tenant whose jobs come to few of the routers.
func (r *Balancer) exceedsQuota(now Micros, j *Request) bool {
	if int(j.Tenant) >= len(r.deployment.Quotas) {
		return false
	}
	due := max(now, r.quotaDebt[j.Tenant])
	if due > now+2_000_000 { // clients are spread unevenly over routers and seconds
		again := j.IsRetry || j.RetriesUnmarked || !r.deployment.MarksRetries // first tries are innocent, where they can be told
		return again && j.Deadline-j.ArrivedAt < r.deployment.Classes[j.Class].LatencyObjective
	}
	r.quotaDebt[j.Tenant] = due + Micros(1e6*float64(r.deployment.Routers)/max(0.01, r.deployment.Quotas[j.Tenant]))
	return false
}

func (r *Balancer) decide(now Micros, f *function, j *Request) Decision {
	if slices.ContainsFunc(j.Attempts, func(e Attempt) bool { return !e.Done }) {
		return r.explain(Decision{Action: NoAction}, "an execution is out")
	}
	exec := r.execTime(f, j)
	whole := r.slack(j, exec)
	slack, margin := j.firstSentAt+whole-now, min(exec, whole/2) // the margin lets every fresh job in
	if j.IsRetry {
		slack = 0 // the client's first try has used it up
	}
	last := j.Deadline - exec/2 - 2*r.deployment.Tick // it can't end within its client's patience if sent later
	tries := len(j.Attempts)
	if r.trace != nil {
		r.trace.explanation.Slack, r.trace.explanation.Margin, r.trace.explanation.LatestStart = slack, margin, last
	}
	over := ""
	switch {
	case tries > 0 && slack < 0: // to run it again would only feed what made it late
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
		// One with less slack found no place: bounds the work of a turn with many held jobs.
		return r.explain(p, "another job for its function found no place in this turn")
	}
	if in := r.fullestInstance(now, f, j); in != nil {
		// Guards against an overload in which least slack first serves every job just too late: where a
		// server is half full, a job that its queue would make late gives way to those that can be in time.
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
		return r.explain(r.giveUp(j), "its copies are there and full, and it has no slack") // as above
	} else if !stands && !comes {
		if s := r.loadTarget(now, f, j, false); s != nil {
			return r.explain(r.startLoad(now, f, j, s), "no copy stands or comes")
		}
	}
	f.blockedAt = now
	return r.explain(p, "it waits for a copy")
}

// noteShed notes a job that is pushed back for want of slack: the check counts it, see there.
func (r *Balancer) noteShed(now, whole Micros, f *function) {
	f.delays.add(now, whole)
	f.shed.add(now, 1)
	if !f.waiting {
		f.waiting, r.waiting = true, append(r.waiting, f)
	}
}

// explain notes what ended a choice, where someone asks.
func (r *Balancer) explain(p Decision, by string) Decision {
	if r.trace != nil {
		r.trace.explanation.Reason = by
	}
	return p
}

// healthy tells whether a server is there, and neither suspect nor turning all away.
func (s *server) healthy() bool {
	return s.State == Ready && !s.ejected && s.rejections < 3 // refusals or errors in a row; a busy server takes some
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

// usable tells whether a job may go to a server at all.
func (r *Balancer) usable(now Micros, s *server, j *Request) bool {
	return r.unusableReason(now, s, j) == ""
}

// unusableReason tells why a job may not go to a server; empty if it may.
func (r *Balancer) unusableReason(now Micros, s *server, j *Request) string {
	switch {
	case s.State != Ready:
		return "drains or is gone"
	case now < s.backoffUntil:
		return "refused lately"
	case s.ejected && now < s.probeAt: // without trials a suspect with no copies would stay one
		return "is suspect, and no trial is due"
	case !r.mayRetry(now, j, s):
		return "is outside the job's group or window"
	case !r.withinSlowStartBudget(now, s):
		return "is cold, and its budget is used up"
	}
	return ""
}

// withinSlowStartBudget keeps the fourth rule: all routers together may send a cold server a told multiple of its present
// capacity, at least its part of what the fleet answers. Where our fraction of a window is less than a job,
// the routers take turns by number, server and time: the sum stays within the budget with no agreement.
func (r *Balancer) withinSlowStartBudget(now Micros, s *server) bool {
	has := r.capacity(now, s)
	if has == 1 {
		return true
	}
	if now < r.startedAt+r.deployment.OverloadWindow {
		return false // what our earlier life sent within this window is forgotten; all routers may have restarted at once
	}
	s.slowStartSends = dropBefore(s.slowStartSends, now-r.deployment.OverloadWindow)
	const margin = 0.8 // jobs vary
	budget := r.deployment.OverloadFactor * has * r.answerRate * float64(r.deployment.OverloadWindow) / 1e6
	whole, part := math.Modf(margin * budget)
	// Jobs of two turns that follow one another may meet in one window: both together stay within what chance may make of it.
	routers := float64(max(1, r.deployment.Routers))
	part = min(part, (slowStartTolerance(budget*routers)/routers-whole)/2)
	// Powers of two, so that a figure that changes within a window lets nobody in beside those of the largest. Turns go by the
	// server's age, which all routers know alike: their clocks may have been set between their starts.
	turns := uint64(1) << int(math.Ceil(-math.Log2(max(part, 1e-6))))
	if (uint64(max(0, now-s.StartedAt)/r.deployment.OverloadWindow)+uint64(r.deployment.Number)+hash(0, uint64(s.Server)))%turns == 0 {
		whole++
	}
	return len(s.slowStartSends) < int(whole)
}

// slowStartTolerance is how many jobs a cold server with a budget for some survives in a window, by the rule's allowance for chance.
func slowStartTolerance(budget float64) float64 {
	if budget < 30 {
		return budget + 3*math.Sqrt(budget) + 3
	}
	return budget + 2*math.Sqrt(budget) + 2
}

// capacity is the share of its full capacity that a server has at least.
func (r *Balancer) capacity(now Micros, s *server) float64 {
	if age := now - s.StartedAt; s.StartedAt > 0 && age < r.deployment.SlowStartDuration {
		return r.deployment.SlowStartInitial + (1-r.deployment.SlowStartInitial)*float64(max(0, age))/float64(r.deployment.SlowStartDuration)
	}
	return 1
}

// overloaded tells whether a server is to be left alone for its report or the queueing of our jobs there. Guards
// against the floor of one slot, at which a copy is full for none of many routers however long its queue. It
// acts only where a server's answers to us are too rare for a window; copies there then hold no jobs either.
func (r *Balancer) overloaded(now Micros, s *server) bool {
	// Above 0.85 jobs wait for cores; 5 loads are more than most run at once. Lower bounds brought nothing.
	told := s.reportedAt > 0 && now < s.reportedAt+r.freshFor && (s.report.Utilization > 0.85 || s.report.PendingLoads > 4)
	return r.freshFor > rareAnswers && (told || s.queueing.mean(now-r.freshFor) > 250) // a quarter of slack: beats two fifths
}

const rareAnswers = 2_000_000 // between a server's answers to us; a few times a report's own age

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

// fullestInstance picks the instance for a job: among those with fewer of our executions out than lanes the
// fullest, else the one with the fewest free slots, else one that loads; ties by own zone, then by chance.
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

// loadTarget picks the server for one more copy, in the order of a rendezvous hash weighted with what the
// list tells: routers that share nothing meet on the same copies, and a load sent where one stands finds it.
// Several routers keep to the first two: else each full one sends them elsewhere, to load what others load.
// A function that draws much of the jobs has several homes, and each router turns to one of them by its
// number: guards against crowds on one copy. A copy beside others of ours goes to the server with the fewest,
// and only where three quarters of it are free: in a full fleet it would only take more from the rest.
func (r *Balancer) loadTarget(now Micros, f *function, j *Request, beside bool) *server {
	const few = 8 // functions of ours loading on a server: past a few it queues or refuses them itself
	takes := func(s *server) bool {
		return now >= s.loadsAfter && s.pendingLoads() < few && !(beside && s.freeShare() < 0.75)
	}
	cs, known := []candidate(nil), false
	if r.deployment.Routers > 1 && r.homeCount(f, len(r.index.ids)-len(r.index.notReady)) == 1 {
		cs, known = r.firstTwoByRanking(now, f, j)
	}
	if !known {
		if r.deployment.Routers == 1 && !slices.ContainsFunc(r.servers, func(s *server) bool { return takes(s) && r.usableUnchanged(now, s, j) }) {
			return nil // bounds the work of a turn with many held jobs
		}
		cs = r.candidatesInOrder(now, f, j)
	}
	var best *server
	fewest := math.MaxInt
	near := len(cs)
	if r.deployment.Routers > 1 {
		near = min(near, 2) // one alone would wait for a server that is stuck
	}
	for _, c := range cs[:near] {
		s, copies := c.server, 0
		if !takes(s) {
			continue
		}
		if in := f.instanceOn(s, false); in != nil {
			copies = in.replicas + in.loading
		}
		if copies < fewest {
			best, fewest = s, copies
		}
	}
	return best
}

// homeCount is how many of the servers that can be used a function has for homes.
func (r *Balancer) homeCount(f *function, usable int) int {
	const spread = 2  // homes for a server's part of the jobs, so that a home is half of its server's load
	const enough = 32 // jobs that tell a part; the one in hand tells nothing
	part := float64(f.recent-1) / float64(max(enough, len(r.recent)))
	return min(usable, max(1, int(math.Ceil(spread*part*float64(usable)))))
}

// candidatesInOrder gives servers that a load may go to, those that loadTarget looks at first and in order.
func (r *Balancer) candidatesInOrder(now Micros, f *function, j *Request) []candidate {
	cs, n := r.nearestHomes(now, f, j)
	near := cs
	if r.deployment.Routers > 1 {
		near = cs[:min(len(cs), 2)]
	}
	homes := cs[:n]
	partitionLowest(cs, len(homes))
	for i, c := range homes {
		homes[i].key = rankKey(hash(uint64(f.id), uint64(r.deployment.Number)+1), c.server.Server, c.weight)
	}
	byKey := func(a, b candidate) int { return cmp.Compare(a.key, b.key) }
	if len(near) <= len(homes) {
		partitionLowest(homes, len(near))
		slices.SortFunc(near, byKey)
	} else {
		partitionLowest(cs[len(homes):], len(near)-len(homes))
		slices.SortFunc(homes, byKey)
		slices.SortFunc(near[len(homes):], byKey)
	}
	return cs
}

// startLoad starts a load for a job. Where a job loads what is missing it goes by itself: so it finds what others
// loaded, for no price. An order goes before it for one copy more, or where only orders load: there a job goes
// once without, when the ration gives none, since others may have loaded it and a miss never ran.
func (r *Balancer) startLoad(now Micros, f *function, j *Request, s *server) Decision {
	in := f.instanceOn(s, true)
	if !r.loaded(now, in) {
		in.replicas = 0
	}
	if !r.loading(now, in) {
		in.loading = 0
	}
	if r.deployment.LoadsOnMiss && in.replicas+in.loading == 0 {
		in.loading, in.loadingSince = 1, now
		return r.forward(now, f, j, in)
	}
	if given := r.deployment.LoadCommands && r.loadCommandAllowed(now); !given && !r.deployment.LoadsOnMiss && len(j.Attempts) == 0 {
		return r.forward(now, f, j, in)
	} else if !given {
		return Decision{Action: Hold, Rank: r.Rank(now, j), RecheckAt: now + maintenanceInterval}
	}
	p := Decision{Action: Hold, Rank: r.Rank(now, j), RecheckAt: now + 30_000}
	in.loading, in.loadingSince = in.loading+1, now
	if r.deployment.LoadsOnMiss { // else a job would overtake its order and only miss
		p = r.forward(now, f, j, in)
	}
	p.LoadCommands = []LoadCommand{{s.Server, f.id, min(16, in.replicas+in.loading)}}
	return p
}

// loadCommandAllowed keeps the fifth rule.
func (r *Balancer) loadCommandAllowed(now Micros) bool {
	if r.deployment.LoadRateWindow > 0 {
		begin, late := now-r.deployment.LoadRateWindow, r.deployment.MaxCommandDelay // an earlier order may arrive late, this one not
		r.loadCommands, r.admitted = dropBefore(r.loadCommands, begin-late), dropBefore(r.admitted, begin+max(r.deployment.Tick, late))
		if float64(len(r.loadCommands)+1) > r.deployment.LoadRateBase+r.deployment.LoadRatePerRequest*float64(len(r.admitted)) {
			return false
		}
		r.loadCommands = append(r.loadCommands, now)
	}
	return true
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

const rejectionBackoff = 25_000 // doubled, about the time in which a busy server ends a job

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

// HandleLoadResult takes in the answer to an order.
func (r *Balancer) HandleLoadResult(now Micros, id ServerID, fn FunctionID, result Result, took Micros, copies int) {
	f := r.functions[fn]
	i, known := r.find(id)
	if f == nil || !known {
		return
	}
	in := f.instanceOn(r.servers[i], true)
	switch result {
	case Succeeded:
		if in.loading > 0 && copies > in.replicas {
			r.loadTimes.add(now, now-in.loadingSince)
			in.loading = max(0, in.loading-(copies-in.replicas))
		}
		in.replicas, in.lastUsed = copies, now
	case Overloaded, Failed:
		in.loading, in.server.loadsAfter = 0, now+loadBackoff
	case ConnectionReset, ConnectFailed:
		in.loading = 0
		r.connectionFailed(now, in.server)
	}
}

const loadBackoff = 50_000 // a part of a load: one that ends meanwhile makes room

// connectionFailed takes in a broken or refused connection. Guards against crashes: one after a silence, or a second
// with no answer between, makes a suspect, which holds nothing when it is back. One alone is a flaky network.
func (r *Balancer) connectionFailed(now Micros, s *server) {
	if s.connectionFailures++; s.connectionFailures > 1 || now-s.lastAnswer > quantile(r.latencies.since(0), 0.5) {
		r.eject(now, s, "connections fail")
		r.dropInstances(s, now)
	}
}

// probeInterval is how long a suspect gets no job: longer each time that it fails, and where answers are rare:
// else many routers' trials add up. From half a second: a router with many jobs can spare one in that.
func (r *Balancer) probeInterval(s *server) Micros {
	return (500_000 << min(s.ejections, 3)) * max(rareAnswers, r.freshFor) / rareAnswers
}

func (r *Balancer) answered(now Micros, s *server) {
	s.lastAnswer, s.connectionFailures = now, 0
	if s.ejected {
		s.ejected, s.ejections = false, 0
		r.logf("server %x answers again", s.Server)
	}
}

func (r *Balancer) eject(now Micros, s *server, why string) {
	if !s.ejected {
		r.logf("server %x is suspect: %s", s.Server, why)
	}
	s.ejected, s.ejections = true, s.ejections+1
	s.probeAt = now + r.probeInterval(s)
	r.index.markQuestionable(s)
}

const maintenanceInterval = 200_000 // several checks within a load's time and within a start target

// Maintain answers how long to wait until the next upkeep, and what falls due now.
func (r *Balancer) Maintain(now Micros) Maintenance {
	up := Maintenance{Next: now + maintenanceInterval}
	if r.deployment.EndpointsOnRequest && !r.subscribed {
		r.subscribed, up.SubscribeEndpoints = true, true
	}
	r.updateAnswerRate(now)
	r.ejectSilentServers(now)
	r.prune(now)
	r.waiting = slices.DeleteFunc(r.waiting, func(f *function) bool {
		r.checkReplicas(now, f)
		f.waiting = f.held > 0
		return !f.waiting
	})
	up.Cancellations, up.LogLines, r.cancellations, r.logLines = r.cancellations, r.logLines, nil, nil
	return up
}

// checkReplicas is the design's test whether a function needs more copies: recent delay has reached slack, and what
// is held would wait at least as long as a load takes. Held jobs then carry the loads out, see place. The
// page's D_f holds every job; here those without slack leave, so those of the last load's time count as held:
// else a start target shorter than a load keeps D_f below it whatever the demand.
func (r *Balancer) checkReplicas(now Micros, f *function) {
	held := f.held + len(f.shed.since(now-r.loadTime(f.lastRequest)))
	if f.loadsDue = 0; held == 0 {
		return
	}
	exec, perLane := r.execTime(f, f.lastRequest), r.slotsPerLane(f, f.lastRequest)
	target := r.latencyObjective(f.lastRequest, exec)
	delay := quantile(f.delays.since(now-2_000_000), 0.9)
	if f.held > 0 {
		delay = max(delay, now-f.heldSince)
	}
	slots, loading := 0, 0
	for _, in := range f.instances {
		if in.server.healthy() {
			slots += r.slots(now, in, f, perLane)
			if r.loading(now, in) {
				loading += in.loading
			}
		}
	}
	if r.trace != nil {
		r.trace.replicaCheck(ReplicaCheck{Now: now, Function: f.id, Held: held, Slots: slots, Loading: loading, Delay: delay,
			Slack: target - exec, Objective: target, LoadTime: r.loadTime(f.lastRequest)})
	}
	if delay < target-exec || slots == 0 || Micros(held)*target/Micros(slots) < r.loadTime(f.lastRequest) {
		return
	}
	const few = 3 // a check's loads are under way before the next one counts again
	f.loadsDue = min(few, int(math.Ceil(float64(held-slots)/perLane))-loading)
}

// prune forgets what is long idle, so that a router may serve for months: beyond many functions one with nothing
// held or out, and no copy believed loaded or coming; and a server long after it left the list.
func (r *Balancer) prune(now Micros) {
	const many = 1 << 14  // some 20 MB; a check of all takes a fraction of a millisecond
	const batch = 1 << 11 // looked at in one upkeep: more new names a second than a router takes jobs
	if len(r.functionOrder) > many {
		from := r.pruned % len(r.functionOrder)
		to := min(len(r.functionOrder), from+batch)
		kept := slices.DeleteFunc(r.functionOrder[from:to:to], func(f *function) bool {
			gone := r.idle(now, f)
			if gone {
				delete(r.functions, f.id)
				for _, in := range f.instances {
					in.server.removeFunction(f)
				}
			}
			return gone
		})
		r.functionOrder = slices.Delete(r.functionOrder, from+len(kept), to)
		r.pruned = from + len(kept)
	}
	const long = 600_000_000 // a roll or a break of the list is over by then
	gone, due := r.index.removed, 0
	for due < len(gone) && now >= gone[due].lastListed+long {
		due++
	}
	kept := slices.DeleteFunc(gone[:due:due], func(s *server) bool {
		if len(s.inFlight) > 0 {
			return false
		}
		for _, f := range s.functions {
			f.instances = slices.DeleteFunc(f.instances, func(in *instance) bool { return in.server == s })
		}
		r.removeServer(s)
		return true
	})
	r.index.removed = slices.Delete(gone, len(kept), due)
	r.index.dropQuestionable(func(s *server) bool { return !s.ejected && now >= s.backoffUntil })
}

// idle tells whether all that is known of a function may be forgotten.
func (r *Balancer) idle(now Micros, f *function) bool {
	return !f.waiting && f.recent == 0 && !slices.ContainsFunc(f.instances, func(in *instance) bool {
		return in.inFlight > 0 || r.loaded(now, in) || r.loading(now, in)
	})
}

// ejectSilentServers looks for servers that owe answers for longer than recent ones explain. Guards against machines that
// hang or vanish without a word; where most owe alike the cause lies elsewhere, and none is suspected.
func (r *Balancer) ejectSilentServers(now Micros) {
	limit := 4 * quantile(r.latencies.since(0), 0.9)
	if limit == 0 {
		return
	}
	var silent []*server
	for _, s := range r.index.busy {
		for _, fl := range s.inFlight {
			allowed := limit
			if !fl.toLoaded && !s.ejected {
				allowed += 3 * r.loadTime(fl.request)
			}
			if now-max(fl.sentAt, s.lastAnswer) > allowed {
				silent = append(silent, s)
				break
			}
		}
	}
	if len(silent)*2 > max(2, len(r.index.busy)) {
		return
	}
	for _, s := range silent {
		r.eject(now, s, "owes answers")
		for _, fl := range s.inFlight {
			r.cancelAttempt(fl.request, fl.attempt)
		}
	}
}
