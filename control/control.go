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

// Start gives a router that knows only what it is told.
func Start(now Micros, seed uint64, told Deployment) *Router {
	return &Router{told: told, chance: pcg(seed), started: now, functions: map[FunctionID]*function{},
		execs: make([]samples, len(told.Workloads)), patience: make([]samples, len(told.Workloads)),
		due: make([]Micros, len(told.Shares))}
}

// Recall takes back what an earlier life remembered; call it after Start, before all else. What limits us
// counts whatever its age, an order or a job sent at a time still to come as now: it may be fresh. Beliefs count
// for as long as they would have. How long executions and loads take is no part of it (docs/memory.md).
func (r *Router) Recall(now Micros, m *Memory) {
	const lately = 60_000_000 // six times as long as answers count
	r.orders, r.taken = notAfter(m.Orders, now), upTo(m.Taken, now)
	if now >= m.Saved && now < m.Saved+lately {
		r.answers, r.started = upTo(m.Answers, now), min(now, m.Started)
	}
	for i := range min(len(r.due), len(m.Due)) {
		r.due[i] = min(m.Due[i], now+2_000_000) // see surplus
	}
	for _, v := range m.Servers {
		r.servers = append(r.servers, &server{Listing: Listing{Server: v.Server, Born: min(v.Born, now)}, left: now,
			heard: now, sent: notAfter(v.Sent, now)})
	}
	for _, v := range m.Functions {
		f := r.function(&Job{Function: v.ID, Lanes: v.Lanes})
		for _, c := range v.Copies {
			if i, known := r.find(c.Server); known && max(c.Used, c.Since) <= now {
				in := instance{server: r.servers[i], copies: c.Copies, used: c.Used, loading: c.Loading, since: c.Since}
				if r.warm(now, &in) || r.underWay(now, &in) {
					*f.at(in.server, true) = in
				}
			}
		}
	}
	r.reindex()
}

// Listed takes in the list of servers. A later start than the one known means an empty, cold server.
func (r *Router) Listed(now Micros, kind ListKind, list []Listing) {
	if kind == ListFailed {
		r.watching = false
		return
	}
	before := r.index.listed
	r.index.listed = now
	if kind != ListChanges {
		for _, s := range r.servers {
			s.listed = false
		}
	}
	for _, l := range list {
		i, known := r.find(l.Server)
		if !known {
			r.know(i, &server{Listing: Listing{Server: l.Server}, heard: now})
		}
		s := r.servers[i]
		if known && l.Born > s.Born {
			r.forget(s, l.Born)
			s.suspect, s.setbacks, s.fulls, s.size = false, 0, 0, 0
		}
		s.Listing, s.listed = l, true
	}
	if kind == ListChanges {
		for _, l := range list {
			i, _ := r.find(l.Server)
			r.settle(before, r.servers[i])
		}
		return
	}
	for _, s := range r.servers {
		if !s.listed {
			s.State = Gone
		}
		r.settle(before, s)
	}
}

// forget drops the beliefs about a server's copies that are older than its start: a restart holds nothing.
func (r *Router) forget(s *server, born Micros) {
	for _, f := range s.holds {
		if in := f.at(s, false); in != nil && max(in.used, in.since) < born {
			in.copies, in.loading = 0, 0
		}
	}
}

// exec is the function's execution time: the hint, else a mean of its last warm answers that leaves out
// the far tail, so that a few heavy jobs don't distort B; with too few, its workload's.
func (r *Router) exec(f *function, j *Job) Micros {
	if j.Work > 0 {
		return j.Work
	}
	const enough = 3 // a mean of fewer is mostly the luck of one job
	s := &f.execs
	if s.n < enough {
		if s = &r.execs[j.Workload]; s.n < enough {
			return r.told.Workloads[j.Workload].StartTarget / 4 // before any answer: a guess that leaves B at 3
		}
	}
	sorted := s.since(0)
	far := 4 * quantile(sorted, 0.5) // an exponential's tail beyond 4 medians is 1 in 16
	n, _ := slices.BinarySearch(sorted, far+1)
	return max(1, mean(sorted[:n]))
}

// loadTime is how long a load takes: the hint, else the mean of recent loads, with none the start target.
func (r *Router) loadTime(j *Job) Micros {
	if j != nil && j.LoadTime > 0 {
		return j.LoadTime
	}
	return cmp.Or(r.loads.mean(0), r.told.Workloads[0].StartTarget)
}

// perLane is B, the slots of a lane: slack over execution time, at least 1.
func (r *Router) perLane(f *function, j *Job) float64 {
	exec := r.exec(f, j)
	return max(1, float64(r.target(j, exec)-exec)/float64(exec))
}

// warm tells whether the copies are believed loaded: the belief fades after the told least keep-alive.
func (r *Router) warm(now Micros, in *instance) bool {
	return in.copies > 0 && (in.out > 0 || now < in.used+r.told.KeepAlive)
}

// underWay tells whether copies are believed under way. Guards against a load that nobody ever reports: after
// four times the usual it is taken as lost.
func (r *Router) underWay(now Micros, in *instance) bool {
	return in.loading > 0 && now < in.since+4*r.loadTime(nil)
}

// slots is what an instance offers this router.
func (r *Router) slots(now Micros, in *instance, f *function, perLane float64) int {
	offered := 0
	if r.warm(now, in) {
		offered = max(1, int(perLane*float64(f.lanes*in.copies)/float64(r.told.Routers)))
	} else if r.underWay(now, in) {
		offered = f.lanes * in.loading
	}
	s := in.server
	if s.size == 0 {
		s.size = max(1, perLane*float64(f.lanes)/float64(r.told.Routers)) // at first, as one instance offers
	}
	if r.shunned(now, s) {
		return 0
	}
	return min(offered, in.out+int(s.size)-s.busy)
}

// fit narrows or widens how much of ours a server bears at once, by the part of their slack that its last
// jobs spent queueing there: the design counts slots for each function alone, but copies share a server's
// cores. Guards against crowding from any cause: many functions on one server, other routers, a slow or cold
// machine, stalls. It harms where one heavy job after another looks like a queue.
func (r *Router) fit(now Micros, s *server, strain Micros) {
	const most = 400      // thousandths: leaves the rest of the slack for holding here and for chance
	const narrower = 0.75 // sheds a queue within a few answers' time
	s.strain.add(now, strain)
	r.strain.add(now, strain)
	s.size = max(0.5, s.size)
	if now >= s.narrowed && s.strain.mean(s.narrowed) > most {
		s.size = max(1, min(s.size, float64(s.busy+1))*narrower)
		s.narrowed = now + quantile(r.latencies.since(0), 0.5) // the effect shows in answers to later sends
	} else if float64(s.busy+2) >= s.size && now >= s.narrowed {
		s.size += 1 / s.size
	}
}

// Rank orders the jobs in hand: least slack first.
func (r *Router) Rank(_ Micros, j *Job) Micros {
	return j.Arrived + r.slack(j, r.exec(r.function(j), j))
}

// slack is the time that a job can spare: before its start target, and before its client gives up.
func (r *Router) slack(j *Job, exec Micros) Micros {
	return max(0, min(r.target(j, exec), j.Patience-j.Arrived)-exec)
}

// Place answers where to send a job, or not yet, or never.
func (r *Router) Place(now Micros, j *Job) Placement {
	f := r.function(j)
	if !j.taken {
		j.taken, j.begun, j.surplus = true, r.begun(now, j), r.shed(now) || r.surplus(now, j)
		const last = 128 // tells a function's part of the jobs to a few hundredths
		r.recent = append(r.recent, f)
		if f.recent++; len(r.recent) > last {
			r.recent[0].recent, r.recent = r.recent[0].recent-1, r.recent[1:]
		}
		if r.told.LoadWindow > 0 {
			r.taken = append(r.taken, now)
		}
	}
	if r.trace != nil {
		r.trace.begin(r, now, f, j)
	}
	p := r.place(now, f, j)
	if r.trace != nil {
		r.trace.end(p)
	}
	p.Again = min(p.Again, j.Patience-2*r.told.Tick) // rule 1, whatever the job waits for
	if hold := p.Verb == Hold; hold != j.held {
		if hold {
			if f.held++; f.held == 1 {
				f.heldFrom = now
			}
			if !f.waits {
				f.waits, r.waiting = true, append(r.waiting, f)
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

// begun is when the client first asked. Guards against later tries, marked or not, that take the place of
// jobs that can still be in time: a patience shorter than usual is what earlier tries have left. It harms
// clients that are hasty by nature, so from clients that mark repeats only the mark counts.
func (r *Router) begun(now Micros, j *Job) Micros {
	usual, patience := &r.patience[j.Workload], j.Patience-now
	usual.add(now, patience)
	if (!r.told.MarksRepeats || j.Unmarked) && patience < quantile(usual.since(0), 0.8)-30_000 { // the way here: a few ms
		return min(j.Arrived, j.Patience-r.told.Workloads[j.Workload].TimeLimit)
	}
	return j.Arrived
}

// shed tells whether a job is turned away for the queueing that our last ones met on any server. Guards
// against a standing overload that answers every job just too late, where answers are too rare for windows.
func (r *Router) shed(now Micros) bool {
	over := quantile(r.strain.since(now-r.fresh/2), 0.5) - 250 // between 150 and 400, as good; half is shed
	return r.fresh > seldom && Micros(r.chance.below(1000)) < min(over, 500)
}

// surplus tells whether a hasty job lies beyond its tenant's told share, as far as this router sees. Guards
// against clients that wait less than the start target and ask again at once: their tries run on without them
// and take the place of the rest. It harms a hasty tenant whose jobs come to few of the routers.
func (r *Router) surplus(now Micros, j *Job) bool {
	if int(j.Tenant) >= len(r.told.Shares) {
		return false
	}
	due := max(now, r.due[j.Tenant])
	if due > now+2_000_000 { // clients are spread unevenly over routers and seconds
		again := j.Repeat || j.Unmarked || !r.told.MarksRepeats // first tries are innocent, where they can be told
		return again && j.Patience-j.Arrived < r.told.Workloads[j.Workload].StartTarget
	}
	r.due[j.Tenant] = due + Micros(1e6*float64(r.told.Routers)/max(0.01, r.told.Shares[j.Tenant]))
	return false
}

func (r *Router) place(now Micros, f *function, j *Job) Placement {
	if slices.ContainsFunc(j.Executions, func(e Execution) bool { return !e.Done }) {
		return r.ended(Placement{Verb: Nothing}, "an execution is out")
	}
	exec := r.exec(f, j)
	whole := r.slack(j, exec)
	slack, margin := j.begun+whole-now, min(exec, whole/2) // the margin lets every fresh job in
	if j.Repeat {
		slack = 0 // the client's first try has used it up
	}
	last := j.Patience - exec/2 - 2*r.told.Tick // it can't end within its client's patience if sent later
	tries := len(j.Executions)
	if r.trace != nil {
		r.trace.why.Slack, r.trace.why.Margin, r.trace.why.Last = slack, margin, last
	}
	over := ""
	switch {
	case tries > 0 && slack < 0: // to run it again would only feed what made it late
		over = "it ran once and has no slack left"
	case j.surplus:
		over = "it is beyond its tenant's share, or shed"
	case now >= last:
		over = "it can't end within its client's patience"
	case tries >= r.told.MaxExecutions:
		over = "it had all its executions"
	case !r.mayRepeat(now, j, nil):
		over = "an earlier execution may have run"
	}
	if over != "" {
		return r.ended(r.final(j), over)
	}
	p := Placement{Verb: Hold, Rank: j.Arrived + whole, Again: min(now+checkEvery, last)}
	if f.blocked == now && slack >= margin && tries == 0 {
		// One with less slack found no place: bounds the work of a turn with many held jobs.
		return r.ended(p, "another job for its function found no place in this turn")
	}
	if in := r.fullest(now, f, j); in != nil {
		// Guards against an overload in which least slack first serves every job just too late: where a
		// server is half full, a job that its queue would make late gives way to those that can be in time.
		s, queue := in.server, in.server.strain.mean(now-1_000_000)*whole/1000
		if r.warm(now, in) && slack < margin+queue && 2*s.busy >= int(s.size) {
			f.delays.add(now, whole)
			return r.ended(r.final(j), "the queue at its instance would make it late")
		}
		p := r.send(now, f, j, in)
		in.used = max(in.used, now)
		return r.ended(p, "the fullest instance with room")
	}
	if f.due > 0 {
		if s := r.loadTarget(now, f, j, true); s != nil {
			f.due--
			return r.ended(r.load(now, f, j, s), "the last check asked for another copy")
		}
	}
	stands, comes := false, false
	for _, in := range f.instances {
		if in.server.sound() && !r.shunned(now, in.server) {
			stands = stands || r.warm(now, in)
			comes = comes || r.underWay(now, in)
		}
	}
	if stands && slack < margin && !comes {
		r.turned(now, whole, f)
		return r.ended(r.final(j), "its copies are there and full, and it has no slack") // as above
	} else if !stands && !comes {
		if s := r.loadTarget(now, f, j, false); s != nil {
			return r.ended(r.load(now, f, j, s), "no copy stands or comes")
		}
	}
	f.blocked = now
	return r.ended(p, "it waits for a copy")
}

// turned notes a job that is pushed back for want of slack: the check counts it, see there.
func (r *Router) turned(now, whole Micros, f *function) {
	f.delays.add(now, whole)
	f.turned.add(now, 1)
	if !f.waits {
		f.waits, r.waiting = true, append(r.waiting, f)
	}
}

// ended notes what ended a choice, where someone asks.
func (r *Router) ended(p Placement, by string) Placement {
	if r.trace != nil {
		r.trace.why.Ended = by
	}
	return p
}

// sound tells whether a server is there, and neither suspect nor turning all away.
func (s *server) sound() bool {
	return s.State == Ready && !s.suspect && s.fulls < 3 // refusals or errors in a row; a busy server takes some
}

// final ends a job: pushed back where that promise holds, else killed.
func (r *Router) final(j *Job) Placement {
	for _, e := range j.Executions {
		if e.MayRun && !r.told.Workloads[j.Workload].RepeatsAnywhere() {
			return Placement{Verb: Kill}
		}
	}
	return Placement{Verb: PushBack, StayAway: r.told.MaxStayAway}
}

// mayRepeat keeps the second rule: an execution that may have run allows another only where repeats do no
// harm; for a fingerprinted job only inside its group (of the server s, where one is meant) and while that
// still remembers it, less a margin for the way there.
func (r *Router) mayRepeat(now Micros, j *Job, s *server) bool {
	w := r.told.Workloads[j.Workload]
	const travel = 50_000 // far longer than any hop between router and server
	for _, e := range j.Executions {
		outside := s != nil && (w.Scope == OneZone && e.Zone != s.Zone || w.Scope == OneCell && e.Cell != s.Cell)
		forgotten := now+travel >= e.Sent+w.Window
		if e.MayRun && (w.Effect == RunOnce || w.Effect == Fingerprinted && (outside || forgotten)) {
			return false
		}
	}
	return true
}

// usable tells whether a job may go to a server at all.
func (r *Router) usable(now Micros, s *server, j *Job) bool { return r.barred(now, s, j) == "" }

// barred tells why a job may not go to a server; empty if it may.
func (r *Router) barred(now Micros, s *server, j *Job) string {
	switch {
	case s.State != Ready:
		return "drains or is gone"
	case now < s.avoidUntil:
		return "refused lately"
	case s.suspect && now < s.trialAt: // without trials a suspect with no copies would stay one
		return "is suspect, and no trial is due"
	case !r.mayRepeat(now, j, s):
		return "is outside the job's group or window"
	case !r.coldRoom(now, s):
		return "is cold, and its budget is used up"
	}
	return ""
}

// coldRoom keeps the fourth rule: all routers together may send a cold server a told multiple of its present
// capacity, at least its part of what the fleet answers. Where our fraction of a window is less than a job,
// the routers take turns by number, server and time: the sum stays within the budget with no agreement.
func (r *Router) coldRoom(now Micros, s *server) bool {
	has := r.capacity(now, s)
	if has == 1 {
		return true
	}
	if now < r.started+r.told.Fall {
		return false // what our earlier life sent within this window is forgotten; all routers may have restarted at once
	}
	s.sent = after(s.sent, now-r.told.Fall)
	const margin = 0.8 // jobs vary
	budget := r.told.FallMultiple * has * r.rate * float64(r.told.Fall) / 1e6
	whole, part := math.Modf(margin * budget)
	// Jobs of two turns that follow one another may meet in one window: both together stay within what chance may make of it.
	routers := float64(max(1, r.told.Routers))
	part = min(part, (bears(budget*routers)/routers-whole)/2)
	// Powers of two, so that a figure that changes within a window lets nobody in beside those of the largest. Turns go by the
	// server's age, which all routers know alike: their clocks may have been set between their starts.
	turns := uint64(1) << int(math.Ceil(-math.Log2(max(part, 1e-6))))
	if (uint64(max(0, now-s.Born)/r.told.Fall)+uint64(r.told.Number)+mix(0, uint64(s.Server)))%turns == 0 {
		whole++
	}
	return len(s.sent) < int(whole)
}

// bears is how many jobs a cold server with a budget for some survives in a window, by the rule's allowance for chance.
func bears(budget float64) float64 {
	if budget < 30 {
		return budget + 3*math.Sqrt(budget) + 3
	}
	return budget + 2*math.Sqrt(budget) + 2
}

// capacity is the share of its full capacity that a server has at least.
func (r *Router) capacity(now Micros, s *server) float64 {
	if age := now - s.Born; s.Born > 0 && age < r.told.Cold {
		return r.told.ColdFrom + (1-r.told.ColdFrom)*float64(max(0, age))/float64(r.told.Cold)
	}
	return 1
}

// shunned tells whether a server is to be left alone for its report or the queueing of our jobs there. Guards
// against the floor of one slot, at which a copy is full for none of many routers however long its queue. It
// acts only where a server's answers to us are too rare for a window; copies there then hold no jobs either.
func (r *Router) shunned(now Micros, s *server) bool {
	// Above 0.85 jobs wait for cores; 5 loads are more than most run at once. Lower bounds brought nothing.
	told := s.reported > 0 && now < s.reported+r.fresh && (s.report.Util > 0.85 || s.report.Loads > 4)
	return r.fresh > seldom && (told || s.strain.mean(now-r.fresh) > 250) // a quarter of slack: beats two fifths
}

const seldom = 2_000_000 // between a server's answers to us; a few times a report's own age

// pool works out what one server's answers are too few for: our share of the answers a second of a warm
// server, and for how long what was seen of a server counts, until about when its next answer to us is due.
func (r *Router) pool(now Micros) {
	const over = 10_000_000 // some tens of answers even where a router sees a few jobs a second
	r.answers = after(r.answers, now-over)
	// Refusing or suspect ones too: they must not make the rest look able to more.
	servers := r.capacities(now)
	seen := min(over, max(over/10, now-r.started)) // a router that started just now
	r.rate = float64(len(r.answers)) * 1e6 / float64(seen) / max(1, servers)
	r.fresh = Micros(min(8e6, max(seldom, 1e6/max(0.01, r.rate))))
}

// fullest picks the instance for a job: among those with fewer of our executions out than lanes the
// fullest, else the one with the fewest free slots, else one that loads; ties by own zone, then by chance.
func (r *Router) fullest(now Micros, f *function, j *Job) *instance {
	perLane := r.perLane(f, j)
	var best *instance
	var bestKey, ties int
	for _, in := range f.instances {
		free := r.slots(now, in, f, perLane) - in.out
		if free <= 0 || !r.usable(now, in.server, j) {
			continue
		}
		key := in.out * 2
		if warm := r.warm(now, in); warm && in.out < f.lanes*in.copies {
			key += 1 << 30
		} else if warm {
			key = 1<<28 - free*2
		}
		if in.server.Zone == r.told.Zone {
			key++
		}
		if best == nil || key > bestKey {
			best, bestKey, ties = in, key, 1
		} else if key == bestKey {
			if ties++; r.chance.below(ties) == 0 {
				best = in
			}
		}
	}
	return best
}

func (r *Router) send(now Micros, f *function, j *Job, in *instance) Placement {
	s := in.server
	warm := r.warm(now, in)
	j.Executions = append(j.Executions, Execution{Server: s.Server, Zone: s.Zone, Cell: s.Cell, Sent: now,
		MayRun: true, warm: warm})
	if warm {
		s.busy++
	}
	s.flights = append(s.flights, flight{j, ExecutionID(len(j.Executions) - 1), now, warm})
	r.index.flying = with(r.index.flying, s, byID)
	s.sent = append(after(s.sent, now-r.told.Fall), now)
	if s.suspect {
		s.trialAt = now + r.untilTrial(s)
	}
	in.out++
	return Placement{Verb: Send, Server: s.Server, Allow: j.Patience - now}
}

// loadTarget picks the server for one more copy, in the order of a rendezvous hash weighted with what the
// list tells: routers that share nothing meet on the same copies, and a load sent where one stands finds it.
// Several routers keep to the first two: else each full one sends them elsewhere, to load what others load.
// A function that draws much of the jobs has several homes, and each router turns to one of them by its
// number: guards against crowds on one copy. A copy beside others of ours goes to the server with the fewest,
// and only where three quarters of it are free: in a full fleet it would only take more from the rest.
func (r *Router) loadTarget(now Micros, f *function, j *Job, beside bool) *server {
	const few = 8 // functions of ours loading on a server: past a few it queues or refuses them itself
	takes := func(s *server) bool {
		return now >= s.loadsAfter && s.waiting() < few && !(beside && s.room() < 0.75)
	}
	cs, known := []choice(nil), false
	if r.told.Routers > 1 && r.homes(f, len(r.index.ids)-len(r.index.unready)) == 1 {
		cs, known = r.firstTwo(now, f, j)
	}
	if !known {
		if r.told.Routers == 1 && !slices.ContainsFunc(r.servers, func(s *server) bool { return takes(s) && r.open(now, s, j) }) {
			return nil // bounds the work of a turn with many held jobs
		}
		cs = r.inOrder(now, f, j)
	}
	var best *server
	fewest := math.MaxInt
	near := len(cs)
	if r.told.Routers > 1 {
		near = min(near, 2) // one alone would wait for a server that is stuck
	}
	for _, c := range cs[:near] {
		s, copies := c.s, 0
		if !takes(s) {
			continue
		}
		if in := f.at(s, false); in != nil {
			copies = in.copies + in.loading
		}
		if copies < fewest {
			best, fewest = s, copies
		}
	}
	return best
}

// homes is how many of the servers that can be used a function has for homes.
func (r *Router) homes(f *function, usable int) int {
	const spread = 2  // homes for a server's part of the jobs, so that a home is half of its server's load
	const enough = 32 // jobs that tell a part; the one in hand tells nothing
	part := float64(f.recent-1) / float64(max(enough, len(r.recent)))
	return min(usable, max(1, int(math.Ceil(spread*part*float64(usable)))))
}

// inOrder gives servers that a load may go to, those that loadTarget looks at first and in order.
func (r *Router) inOrder(now Micros, f *function, j *Job) []choice {
	cs, n := r.nearest(now, f, j)
	near := cs
	if r.told.Routers > 1 {
		near = cs[:min(len(cs), 2)]
	}
	homes := cs[:n]
	lowest(cs, len(homes))
	for i, c := range homes {
		homes[i].key = key(mix(uint64(f.id), uint64(r.told.Number)+1), c.s.Server, c.weight)
	}
	byKey := func(a, b choice) int { return cmp.Compare(a.key, b.key) }
	if len(near) <= len(homes) {
		lowest(homes, len(near))
		slices.SortFunc(near, byKey)
	} else {
		lowest(cs[len(homes):], len(near)-len(homes))
		slices.SortFunc(homes, byKey)
		slices.SortFunc(near[len(homes):], byKey)
	}
	return cs
}

// load starts a load for a job. Where a job loads what is missing it goes by itself: so it finds what others
// loaded, for no price. An order goes before it for one copy more, or where only orders load: there a job goes
// once without, when the ration gives none, since others may have loaded it and a miss never ran.
func (r *Router) load(now Micros, f *function, j *Job, s *server) Placement {
	in := f.at(s, true)
	if !r.warm(now, in) {
		in.copies = 0
	}
	if !r.underWay(now, in) {
		in.loading = 0
	}
	if r.told.LoadsOnMiss && in.copies+in.loading == 0 {
		in.loading, in.since = 1, now
		return r.send(now, f, j, in)
	}
	if given := r.told.Orders && r.ration(now); !given && !r.told.LoadsOnMiss && len(j.Executions) == 0 {
		return r.send(now, f, j, in)
	} else if !given {
		return Placement{Verb: Hold, Rank: r.Rank(now, j), Again: now + checkEvery}
	}
	p := Placement{Verb: Hold, Rank: r.Rank(now, j), Again: now + 30_000}
	in.loading, in.since = in.loading+1, now
	if r.told.LoadsOnMiss { // else a job would overtake its order and only miss
		p = r.send(now, f, j, in)
	}
	p.Orders = []Order{{s.Server, f.id, min(16, in.copies+in.loading)}}
	return p
}

// ration keeps the fifth rule.
func (r *Router) ration(now Micros) bool {
	if r.told.LoadWindow > 0 {
		begin, late := now-r.told.LoadWindow, r.told.Late // an earlier order may arrive late, this one not
		r.orders, r.taken = after(r.orders, begin-late), after(r.taken, begin+max(r.told.Tick, late))
		if float64(len(r.orders)+1) > r.told.LoadFree+r.told.LoadShare*float64(len(r.taken)) {
			return false
		}
		r.orders = append(r.orders, now)
	}
	return true
}

// ProvesUnrun tells whether a result proves that the job did not run.
func (r Result) ProvesUnrun() bool {
	return r == Full || r == NoConnection || r == NeverSent || r == Missing
}

// After takes in how an execution ended and answers what to do with its job.
func (r *Router) After(now Micros, j *Job, o Outcome) Placement {
	e := &j.Executions[o.Execution]
	i, known := r.find(o.Server)
	if e.Done || !known {
		return Placement{Verb: Nothing}
	}
	f, s := r.function(j), r.servers[i]
	in := f.at(s, true)
	e.Done = true
	e.MayRun = !o.Result.ProvesUnrun()
	in.out = max(0, in.out-1)
	if e.warm {
		s.busy--
	}
	s.flights = slices.DeleteFunc(s.flights, func(fl flight) bool { return fl.job == j && fl.no == o.Execution })
	if len(s.flights) == 0 {
		r.index.flying = without(r.index.flying, s, byID)
	}
	r.learn(now, f, in, j, o)
	if o.JobOver {
		r.Left(now, j)
		return Placement{Verb: Nothing}
	}
	return r.Place(now, j)
}

func (r *Router) learn(now Micros, f *function, in *instance, j *Job, o Outcome) {
	s, e := in.server, &j.Executions[o.Execution]
	f.blocked = 0
	if o.Report != nil {
		s.report, s.reported = *o.Report, now
	}
	switch o.Result {
	case Finished, Errored, Full, Missing:
		r.hear(now, s)
	case Reset, NoConnection:
		r.broke(now, s)
	}
	switch {
	case o.Found == LoadFailed || o.Result == Missing:
		in.copies, in.loading = 0, 0
	case o.Result == Full || o.Result == Errored && e.warm: // one that errs at once looks ever emptier
		if !e.warm {
			in.loading, s.loadsAfter = 0, now+loadPause // its loads queue is full, or there is no memory
			break
		}
		// Guards against a server that turns all away, full or draining before the list says so: each time
		// without an answer between it is left alone for longer, and soon its copies count for nothing.
		if s.fulls++; in.out == 0 {
			in.copies = 0 // none of ours runs there: the copy may have made way for others
		}
		s.avoidUntil = now + fullPause<<min(s.fulls, 5)
		r.index.doubt(s)
		r.fit(now, s, 1000)
	case o.Result == Finished:
		r.answers, s.fulls = append(r.answers, now), 0
		in.used = now
		exec := r.exec(f, j)
		if o.Found == FoundWarm || o.Found == Untold && e.warm {
			f.execs.add(now, o.Took)
			r.execs[j.Workload].add(now, o.Took)
			r.fit(now, s, max(0, o.Took-exec)*1000/max(1, r.target(j, exec)-exec))
			r.latencies.add(now, o.Took)
			f.delays.add(now, j.heldFor+max(0, o.Took-exec))
		} else if o.Found == BeganLoad || o.Found == Untold && o.Took > 3*exec { // a quicker one found a copy
			r.loads.add(now, max(1, o.Took-exec))
		}
		if in.copies == 0 {
			in.copies, in.loading = 1, max(0, in.loading-1)
		}
	}
}

const fullPause = 25_000 // doubled, about the time in which a busy server ends a job

// Left takes in that a job is over: what is still out for it is called off.
func (r *Router) Left(now Micros, j *Job) {
	if j.held {
		j.held = false
		r.function(j).held--
	}
	for i, e := range j.Executions {
		if !e.Done {
			r.recall(j, ExecutionID(i))
		}
	}
}

func (r *Router) recall(j *Job, no ExecutionID) {
	if e := &j.Executions[no]; r.told.Cancels && !e.recall {
		e.recall, r.recalls = true, append(r.recalls, Recall{j.ID, no})
	}
}

// Loaded takes in the answer to an order.
func (r *Router) Loaded(now Micros, id ServerID, fn FunctionID, result Result, took Micros, copies int) {
	f := r.functions[fn]
	i, known := r.find(id)
	if f == nil || !known {
		return
	}
	in := f.at(r.servers[i], true)
	switch result {
	case Finished:
		if in.loading > 0 && copies > in.copies {
			r.loads.add(now, now-in.since)
			in.loading = max(0, in.loading-(copies-in.copies))
		}
		in.copies, in.used = copies, now
	case Full, Errored:
		in.loading, in.server.loadsAfter = 0, now+loadPause
	case Reset, NoConnection:
		in.loading = 0
		r.broke(now, in.server)
	}
}

const loadPause = 50_000 // a part of a load: one that ends meanwhile makes room

// broke takes in a broken or refused connection. Guards against crashes: one after a silence, or a second
// with no answer between, makes a suspect, which holds nothing when it is back. One alone is a flaky network.
func (r *Router) broke(now Micros, s *server) {
	if s.breaks++; s.breaks > 1 || now-s.heard > quantile(r.latencies.since(0), 0.5) {
		r.sicken(now, s, "connections fail")
		r.forget(s, now)
	}
}

// untilTrial is how long a suspect gets no job: longer each time that it fails, and where answers are rare:
// else many routers' trials add up. From half a second: a router with many jobs can spare one in that.
func (r *Router) untilTrial(s *server) Micros {
	return (500_000 << min(s.setbacks, 3)) * max(seldom, r.fresh) / seldom
}

func (r *Router) hear(now Micros, s *server) {
	s.heard, s.breaks = now, 0
	if s.suspect {
		s.suspect, s.setbacks = false, 0
		r.note("server %x answers again", s.Server)
	}
}

func (r *Router) sicken(now Micros, s *server, why string) {
	if !s.suspect {
		r.note("server %x is suspect: %s", s.Server, why)
	}
	s.suspect, s.setbacks = true, s.setbacks+1
	s.trialAt = now + r.untilTrial(s)
	r.index.doubt(s)
}

const checkEvery = 200_000 // several checks within a load's time and within a start target

// Wait answers how long to wait until the next upkeep, and what falls due now.
func (r *Router) Wait(now Micros) Upkeep {
	up := Upkeep{Next: now + checkEvery}
	if r.told.ListOnRequest && !r.watching {
		r.watching, up.Subscribe = true, true
	}
	r.pool(now)
	r.examine(now)
	r.tidy(now)
	r.waiting = slices.DeleteFunc(r.waiting, func(f *function) bool {
		r.check(now, f)
		f.waits = f.held > 0
		return !f.waits
	})
	up.Recalls, up.Notes, r.recalls, r.notes = r.recalls, r.notes, nil, nil
	return up
}

// check is the design's test whether a function needs more copies: recent delay has reached slack, and what
// is held would wait at least as long as a load takes. Held jobs then carry the loads out, see place. The
// page's D_f holds every job; here those without slack leave, so those of the last load's time count as held:
// else a start target shorter than a load keeps D_f below it whatever the demand.
func (r *Router) check(now Micros, f *function) {
	held := f.held + len(f.turned.since(now-r.loadTime(f.last)))
	if f.due = 0; held == 0 {
		return
	}
	exec, perLane := r.exec(f, f.last), r.perLane(f, f.last)
	target := r.target(f.last, exec)
	delay := quantile(f.delays.since(now-2_000_000), 0.9)
	if f.held > 0 {
		delay = max(delay, now-f.heldFrom)
	}
	slots, loading := 0, 0
	for _, in := range f.instances {
		if in.server.sound() {
			slots += r.slots(now, in, f, perLane)
			if r.underWay(now, in) {
				loading += in.loading
			}
		}
	}
	if r.trace != nil {
		r.trace.check(Check{Now: now, Function: f.id, Held: held, Slots: slots, Loading: loading, Delay: delay,
			Slack: target - exec, Target: target, LoadTime: r.loadTime(f.last)})
	}
	if delay < target-exec || slots == 0 || Micros(held)*target/Micros(slots) < r.loadTime(f.last) {
		return
	}
	const few = 3 // a check's loads are under way before the next one counts again
	f.due = min(few, int(math.Ceil(float64(held-slots)/perLane))-loading)
}

// tidy forgets what is long idle, so that a router may serve for months: beyond many functions one with nothing
// held or out, and no copy believed loaded or coming; and a server long after it left the list.
func (r *Router) tidy(now Micros) {
	const many = 1 << 14  // some 20 MB; a check of all takes a fraction of a millisecond
	const batch = 1 << 11 // looked at in one upkeep: more new names a second than a router takes jobs
	if len(r.order) > many {
		from := r.tidied % len(r.order)
		to := min(len(r.order), from+batch)
		kept := slices.DeleteFunc(r.order[from:to:to], func(f *function) bool {
			gone := r.idle(now, f)
			if gone {
				delete(r.functions, f.id)
				for _, in := range f.instances {
					in.server.drop(f)
				}
			}
			return gone
		})
		r.order = slices.Delete(r.order, from+len(kept), to)
		r.tidied = from + len(kept)
	}
	const long = 600_000_000 // a roll or a break of the list is over by then
	gone, due := r.index.gone, 0
	for due < len(gone) && now >= gone[due].left+long {
		due++
	}
	kept := slices.DeleteFunc(gone[:due:due], func(s *server) bool {
		if len(s.flights) > 0 {
			return false
		}
		for _, f := range s.holds {
			f.instances = slices.DeleteFunc(f.instances, func(in *instance) bool { return in.server == s })
		}
		r.unknow(s)
		return true
	})
	r.index.gone = slices.Delete(gone, len(kept), due)
	r.index.trust(func(s *server) bool { return !s.suspect && now >= s.avoidUntil })
}

// idle tells whether all that is known of a function may be forgotten.
func (r *Router) idle(now Micros, f *function) bool {
	return !f.waits && f.recent == 0 && !slices.ContainsFunc(f.instances, func(in *instance) bool {
		return in.out > 0 || r.warm(now, in) || r.underWay(now, in)
	})
}

// examine looks for servers that owe answers for longer than recent ones explain. Guards against machines that
// hang or vanish without a word; where most owe alike the cause lies elsewhere, and none is suspected.
func (r *Router) examine(now Micros) {
	limit := 4 * quantile(r.latencies.since(0), 0.9)
	if limit == 0 {
		return
	}
	var silent []*server
	for _, s := range r.index.flying {
		for _, fl := range s.flights {
			allowed := limit
			if !fl.warm && !s.suspect {
				allowed += 3 * r.loadTime(fl.job)
			}
			if now-max(fl.sent, s.heard) > allowed {
				silent = append(silent, s)
				break
			}
		}
	}
	if len(silent)*2 > max(2, len(r.index.flying)) {
		return
	}
	for _, s := range silent {
		r.sicken(now, s, "owes answers")
		for _, fl := range s.flights {
			r.recall(fl.job, fl.no)
		}
	}
}
