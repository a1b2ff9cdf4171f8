package control

import "testing"

const second = 1_000_000

// at is the time at which the tests ask: late enough that no server and no router is in slow start.
const at = Micros(100 * second)

func deployment() Deployment {
	return Deployment{Routers: 1, Tick: 4000, MaxAttempts: 3, SupportsCancel: true,
		SlowStartInitial: 0.25, SlowStartDuration: 10 * second,
		OverloadWindow: second, OverloadFactor: 4, KeepAlive: 10 * second, SupportsLoadCommands: true, LoadsOnMiss: true,
		Classes: []Class{{LatencyObjective: second, DedupWindow: 5 * second}}}
}

// fleet returns a balancer that knows n healthy servers, numbered from 1, all started long ago.
func fleet(config Deployment, n int) *Balancer {
	r := New(0, 1, config)
	for i := range n {
		r.servers.insert(&server{listed: true,
			Endpoint: Endpoint{Server: ServerID(i + 1), State: Ready, Weight: 1}})
	}
	r.rebuildIndex()
	return r
}

// newJob returns a request with 100 ms of work for function 7 and a deadline 4 s ahead.
func newJob(id RequestID) *Request {
	return &Request{ID: id, Function: 7, Lanes: 2, ExecTimeHint: 100_000, ArrivedAt: at, Deadline: at + 4*second}
}

// stands gives a server a loaded replica of function 7 with the given number of our attempts in flight there.
func stands(r *Balancer, server, out int) *instance {
	inst := r.function(newJob(0)).instanceOn(r.servers.at(server-1), true)
	inst.replicas, inst.lastUsed, inst.inFlight = 1, at, out
	return inst
}

// sent returns a request with one finished attempt on server 1 that began some time ago.
func sent(ago Micros, mayRun bool) *Request {
	req := newJob(1)
	req.Attempts = []Attempt{{Server: 1, Zone: 1, Cell: 1, SentAt: at - ago, Done: true, MayHaveRun: mayRun}}
	return req
}

func TestFullestFirst(t *testing.T) {
	for want, out := range map[ServerID][]int{
		2: {0, 1, 2}, // the fullest of the two with a free lane
		3: {3, 4, 5}, // otherwise the one with the fewest free slots
	} {
		r := fleet(deployment(), 3)
		for i, n := range out {
			stands(r, i+1, n)
		}
		if p := r.Route(at, newJob(1)); p.Action != Forward || p.Server != want {
			t.Errorf("%v out: got %+v, want server %d", out, p, want)
		}
	}
}

func TestSlots(t *testing.T) {
	for _, c := range []struct {
		name            string
		routers         int
		copies, loading int
		used            Micros
		want            int
	}{
		{"B slots a lane: (1 s - 0.1 s) / 0.1 s x 2 lanes", 1, 1, 0, at, 18},
		{"divided by the routers", 4, 1, 0, at, 4},
		{"at least one", 40, 1, 0, at, 1},
		{"one that loads offers its lanes", 1, 0, 1, at, 2},
		{"a belief fades", 1, 1, 0, at - 11*second, 0},
	} {
		config := deployment()
		config.Routers = c.routers
		r := fleet(config, 1)
		inst := stands(r, 1, 0)
		inst.replicas, inst.loading, inst.loadingSince, inst.lastUsed = c.copies, c.loading, at, c.used
		r.servers.at(0).concurrencyLimit = 100
		if got := r.slots(at, inst, r.functions[7], r.slotsPerLane(r.functions[7], newJob(1))); got != c.want {
			t.Errorf("%s: got %d slots, want %d", c.name, got, c.want)
		}
	}
}

func TestHeldWhileItsCopyIsFull(t *testing.T) {
	r := fleet(deployment(), 2)
	stands(r, 1, 18)
	p := r.Route(at, newJob(1))
	if p.Action != Hold || len(p.LoadCommands) != 0 || r.functions[7].held != 1 {
		t.Errorf("got %+v with %d held, want it held without a load", p, r.functions[7].held)
	}
}

func TestLeastSlackRanksFirst(t *testing.T) {
	r, early, late := fleet(deployment(), 1), newJob(1), newJob(2)
	if late.ArrivedAt += 1000; r.Rank(at, early) >= r.Rank(at, late) {
		t.Error("the job with less slack must rank first")
	}
}

func TestLoadsAtOnceWithNothingWarm(t *testing.T) {
	r := fleet(deployment(), 3)
	p := r.Route(at, newJob(1))
	if p.Action != Forward || len(p.LoadCommands) != 0 {
		t.Errorf("got %+v, want the job sent, which starts the load", p)
	}
}

func TestCheckWantsLoadsOnlyWhenDelayAndQueueSaySo(t *testing.T) {
	for _, c := range []struct {
		name  string
		held  int
		since Micros // start of holding
		want  int
	}{
		{"delay under slack", 60, at - 500_000, 0},
		{"queue shorter than a load", 10, at - 950_000, 0},
		{"both", 60, at - 950_000, 3},
	} {
		r := fleet(deployment(), 2)
		stands(r, 1, 18)
		r.servers.at(0).concurrencyLimit = 100
		r.loadTimes.add(at, 2*second)
		f := r.functions[7]
		f.held, f.heldSince, f.lastRequest = c.held, c.since, newJob(1)
		if r.checkReplicas(at, f); f.loadsDue != c.want {
			t.Errorf("%s: got %d loads due, want %d", c.name, f.loadsDue, c.want)
		}
	}
}

// A crash, a hang or a late endpoint list must not keep requests waiting for replicas that are gone.
func TestCopiesOnUnsoundServersDontHoldJobs(t *testing.T) {
	for name, harm := range map[string]func(s *server){
		"gone":      func(s *server) { s.State = Removed },
		"draining":  func(s *server) { s.State = Draining },
		"suspect":   func(s *server) { s.ejected, s.probeAt = true, at+second },
		"deaf":      func(s *server) { s.rejections, s.backoffUntil = 5, at+second },
		"gone full": func(s *server) { s.State, s.concurrencyLimit = Removed, 1 },
	} {
		r := fleet(deployment(), 2)
		stands(r, 1, 0)
		harm(r.servers.at(0))
		if p := r.Route(at, newJob(1)); p.Action != Forward || p.Server != 2 {
			t.Errorf("%s: got %+v, want a load on server 2", name, p)
		}
	}
}

// In an overload, least slack first serves every request just too late unless late requests yield.
func TestLateJobGivesWayOnACrowdedServer(t *testing.T) {
	r := fleet(deployment(), 1)
	stands(r, 1, 1)
	r.servers.at(0).concurrencyLimit, r.servers.at(0).running = 10, 6
	req := newJob(1)
	req.ArrivedAt = at - 850_000
	if p := r.Route(at, req); p.Action != Reject {
		t.Errorf("crowded: got %+v, want it pushed back", p)
	}
	r.servers.at(0).running = 1
	if p := r.Route(at, req); p.Action != Forward {
		t.Errorf("free: got %+v, want it sent", p)
	}
}

// Replicas of many functions share a server's cores: queueing there must lower its concurrency limit.
func TestWindowNarrowsWithQueueing(t *testing.T) {
	r := fleet(deployment(), 1)
	s := r.servers.at(0)
	s.concurrencyLimit, s.running = 10, 9
	r.adaptConcurrencyLimit(at, s, 100)
	if s.concurrencyLimit <= 10 {
		t.Errorf("window %v after an answer in time, want it wider", s.concurrencyLimit)
	}
	for range 8 {
		r.adaptConcurrencyLimit(at, s, 900)
	}
	if s.concurrencyLimit > 8 {
		t.Errorf("window %v after long queueing, want it narrower", s.concurrencyLimit)
	}
}

// A full load queue says nothing about the replicas that are loaded on the server.
func TestRefusedLoadStopsLoadsOnly(t *testing.T) {
	r := fleet(deployment(), 1)
	inst := stands(r, 1, 1)
	inst.replicas, inst.loading = 0, 1
	req := newJob(1)
	req.Attempts = []Attempt{{Server: 1, SentAt: at - 1000, MayHaveRun: true}}
	r.HandleOutcome(at, req, Outcome{Server: 1, Result: Overloaded})
	if s := r.servers.at(0); s.loadsAfter <= at || s.backoffUntil > at || inst.loading != 0 {
		t.Errorf("loads after %d, avoided until %d, %d loading", s.loadsAfter, s.backoffUntil, inst.loading)
	}
}

func TestServerThatOwesAnswersIsSuspect(t *testing.T) {
	r := fleet(deployment(), 4)
	r.latencies.add(at, 100_000)
	for s := range r.servers.all {
		req := newJob(RequestID(s.Server))
		req.Attempts = []Attempt{{Server: s.Server, MayHaveRun: true}}
		s.inFlight = []inFlightAttempt{{request: req, sentAt: at - second, toLoaded: true}}
		s.lastAnswer = at - 10_000
	}
	r.servers.at(2).lastAnswer = at - second
	r.rebuildIndex()
	r.ejectSilentServers(at)
	if !r.servers.at(2).ejected || r.servers.at(1).ejected || len(r.cancellations) != 1 {
		t.Errorf("suspects wrong, or %d recalls, want 1", len(r.cancellations))
	}
	for s := range r.servers.all {
		s.ejected, s.lastAnswer = false, at-second
	}
	if r.ejectSilentServers(at); r.servers.at(0).ejected {
		t.Error("where all owe answers none is to blame")
	}
}

func TestRestartForgetsCopies(t *testing.T) {
	r := fleet(deployment(), 1)
	inst := stands(r, 1, 0)
	r.UpdateEndpoints(at+2, IncrementalUpdate, []Endpoint{{Server: 1, State: Ready, StartedAt: at + 1}})
	if r.loaded(at+2, inst) {
		t.Error("a server that started anew holds nothing")
	}
}

// Rule 1: a request is answered before its deadline.
func TestEndsBeforePatience(t *testing.T) {
	r := fleet(deployment(), 1)
	stands(r, 1, 18)
	req := newJob(1)
	p := r.Route(at, req)
	if p.Action != Hold || p.RecheckAt >= req.Deadline {
		t.Fatalf("got %+v, want it asked about again before %d", p, req.Deadline)
	}
	if p = r.Route(req.Deadline-10_000, req); p.Action != Reject {
		t.Errorf("got %+v, want it pushed back", p)
	}
}

// Rule 2: which requests may be retried, where, and how they end.
func TestFurtherExecutions(t *testing.T) {
	for _, c := range []struct {
		name   string
		effect Idempotency
		scope  DedupScope
		ago    Micros
		mayRun bool
		want   Action
		server ServerID
	}{
		{"restartable", Idempotent, WholeFleet, second, true, Forward, 2},
		{"run-once that may have run", NonIdempotent, WholeFleet, second, true, Fail, 0},
		{"run-once that did not run", NonIdempotent, WholeFleet, second, false, Forward, 2},
		{"fingerprinted within its window", IdempotentByKey, WholeFleet, second, true, Forward, 2},
		{"fingerprinted beyond it", IdempotentByKey, WholeFleet, 5 * second, true, Reject, 0},
		{"fingerprinted beyond it, group of a cell", IdempotentByKey, OneCell, 5 * second, true, Fail, 0},
		{"fingerprinted, copy in another cell", IdempotentByKey, OneCell, second, true, Hold, 0},
		{"fingerprinted, copy in another zone", IdempotentByKey, OneZone, second, true, Hold, 0},
	} {
		config := deployment()
		config.Classes[0].Idempotency, config.Classes[0].DedupScope = c.effect, c.scope
		r := fleet(config, 2)
		stands(r, 2, 0)
		if p := r.Route(at, sent(c.ago, c.mayRun)); p.Action != c.want || p.Server != c.server {
			t.Errorf("%s: got %+v, want verb %d, server %d", c.name, p, c.want, c.server)
		}
	}
}

func TestNeverTwoAtOnce(t *testing.T) {
	r := fleet(deployment(), 1)
	stands(r, 1, 0)
	req := sent(second, true)
	req.Attempts[0].Done = false
	if p := r.Route(at, req); p.Action != NoAction {
		t.Errorf("got %+v while an execution is out", p)
	}
}

// Rule 3: nothing new goes to a server that drains or is removed, loads included.
func TestDrainsAreKept(t *testing.T) {
	for _, state := range []ServerState{Draining, Removed} {
		r := fleet(deployment(), 1)
		stands(r, 1, 0)
		r.UpdateEndpoints(at, IncrementalUpdate, []Endpoint{{Server: 1, State: state}})
		if p := r.Route(at, newJob(1)); p.Action != Hold || len(p.LoadCommands) != 0 {
			t.Errorf("state %d: got %+v, want nothing sent", state, p)
		}
	}
}

// Rule 4: a server in slow start gets our fraction of its budget, and many routers alternate.
func TestColdBudget(t *testing.T) {
	r := fleet(deployment(), 2)
	cold := r.servers.at(1)
	for i := range 400 { // 20 answers per second from each server
		r.answers = append(r.answers, at-second+Micros(i))
	}
	cold.StartedAt = at - second
	r.rebuildIndex()
	r.capacityHistory = capacityHistory{periods: []CapacityPeriod{{at - 10*second, at, 1.325}}, asOf: at} // as if it had been so throughout
	r.updateAnswerRate(at)
	// 40 answers per second from 1 + 0.325 servers; 0.8 of 4 x 0.325 x 30.2 requests in a window of a second:
	// 31.4.
	r.deployment.RouterIndex = 2 // this router's turn for the fractional request is another one
	for i := range 31 {
		if !r.withinSlowStartBudget(at, cold) {
			t.Fatalf("refused after %d", i)
		}
		cold.slowStartSends = append(cold.slowStartSends, at)
	}
	if r.withinSlowStartBudget(at, cold) {
		t.Error("32 sent within one window")
	}
	if !r.withinSlowStartBudget(at+second+1, cold) {
		t.Error("the window has passed")
	}
	let := 0
	for number := range 200 {
		config := deployment()
		config.Routers, config.RouterIndex = 200, number
		r := fleet(config, 2)
		r.servers.at(1).StartedAt = at - second
		r.rebuildIndex()
		// A tenth of an answer per second from each of 200 servers: 20 in all.
		r.answers = []Micros{at - second, at - second}
		r.updateAnswerRate(at)
		if r.withinSlowStartBudget(at, r.servers.at(1)) {
			let++
		}
	}
	if let == 0 || let > 31 {
		t.Errorf("%d of 200 routers may send in a window, want 31 at most", let)
	}
}

// Rule 5: the rate of load commands is limited.
func TestRation(t *testing.T) {
	config := deployment()
	config.LoadRateWindow, config.LoadRateBase, config.LoadRatePerRequest = 5*second, 1, 0.5
	r := fleet(config, 1)
	r.admitted = []Micros{at, at}
	if got := []bool{r.loadCommandAllowed(at), r.loadCommandAllowed(at), r.loadCommandAllowed(at)}; !got[0] || !got[1] || got[2] {
		t.Errorf("got %v, want two orders within the ration", got)
	}
}

// The limit counts commands where they arrive: an earlier one that waited for its connection may still fall into
// the window, and requests admitted before the window began do not count.
func TestRationOfLateOrders(t *testing.T) {
	config := deployment()
	config.LoadRateWindow, config.LoadRateBase, config.LoadRatePerRequest, config.MaxCommandDelay = 5*second, 1, 1, second/4
	for name, c := range map[string]struct{ orders, taken []Micros }{
		"a late order": {[]Micros{at - 5*second - second/5}, nil},
		"an early job": {[]Micros{at - second}, []Micros{at - 5*second + second/5}},
	} {
		r := fleet(config, 1)
		if r.loadCommands, r.admitted = c.orders, c.taken; r.loadCommandAllowed(at) {
			t.Errorf("%s: another order was given", name)
		}
	}
}

// A flaky network breaks some connections while other requests are answered: that is no crash.
func TestOneBreakIsNoDeath(t *testing.T) {
	r := fleet(deployment(), 1)
	inst, s := stands(r, 1, 0), r.servers.at(0)
	inst.lastUsed = at - 1000
	r.latencies.add(at, 100_000)
	s.lastAnswer = at - 1000
	if r.connectionFailed(at, s); s.ejected || inst.replicas != 1 {
		t.Error("one break just after an answer made a suspect")
	}
	if r.connectionFailed(at, s); !s.ejected || inst.replicas != 0 {
		t.Error("two breaks with no answer between are a crash")
	}
}

// Retries must not take the place of requests that can still be in time.
func TestBegun(t *testing.T) {
	for _, c := range []struct {
		name  string
		marks bool
		never bool // this client marks no retries
		left  Micros
		want  Micros
	}{
		{"first try", false, false, 3 * second, at},
		{"what earlier tries left", false, false, 2 * second, at - 2*second},
		{"hasty, where repeats are marked", true, false, 2 * second, at},
		{"a client that marks none, where others do", true, true, 2 * second, at - 2*second},
	} {
		config := deployment()
		config.ClientsMarkRetries, config.Classes[0].MaxDeadline = c.marks, 4*second
		r := fleet(config, 1)
		for range 15 {
			r.deadlines[0].add(at, 3*second)
		}
		req := newJob(1)
		req.Deadline, req.RetriesUnmarked = at+c.left, c.never
		if got := r.firstSentAt(at, req); got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}
}

// A heavy tail must not distort B.
func TestExecutionTimeLeavesOutTheFarTail(t *testing.T) {
	r := fleet(deployment(), 1)
	req := newJob(1)
	req.ExecTimeHint = 0
	f := r.function(req)
	for _, v := range []Micros{100_000, 120_000, 80_000, 100_000, 3 * second} {
		f.execTimes.add(at, v)
	}
	if got := r.execTime(f, req); got != 100_000 {
		t.Errorf("got %d, want the mean of the four usual ones", got)
	}
}

// A full fleet gains nothing from additional replicas.
func TestFurtherCopyOnlyWhereThereIsRoom(t *testing.T) {
	r := fleet(deployment(), 2)
	stands(r, 1, 0)
	full, s := r.servers.at(0), r.servers.at(1)
	full.concurrencyLimit, full.running = 10, 9
	s.concurrencyLimit, s.running = 10, 8
	if got := r.loadTarget(at, r.functions[7], newJob(1), additionalReplica); got != nil {
		t.Errorf("got server %d, want none", got.Server)
	}
	s.running = 2
	if got := r.loadTarget(at, r.functions[7], newJob(1), additionalReplica); got == nil || got.Server != 2 {
		t.Errorf("got %v, want server 2", got)
	}
}

// An ejected server whose replicas are forgotten must come back: at once with a listed restart, otherwise by a
// probe request.
func TestSuspectsComeBack(t *testing.T) {
	r := fleet(deployment(), 1)
	s := r.servers.at(0)
	s.ejected, s.probeAt = true, at+second
	if p := r.Route(at, newJob(1)); p.Action != Hold {
		t.Errorf("got %+v before a trial is due", p)
	}
	if p := r.Route(at+second, newJob(2)); p.Action != Forward || s.probeAt <= at+second {
		t.Errorf("got %+v, next trial at %d; want one trial load", p, s.probeAt)
	}
	r.UpdateEndpoints(at+second, IncrementalUpdate, []Endpoint{{Server: 1, State: Ready, StartedAt: at + second}})
	if s.ejected {
		t.Error("a told restart clears the suspicion")
	}
}

// Rule 1: a request that waits for a load that may not be commanded yet is rechecked in time, too.
func TestWaitForAnOrderEndsBeforePatience(t *testing.T) {
	config := deployment()
	config.LoadsOnMiss, config.SupportsLoadCommands = false, false
	r := fleet(config, 1)
	req := newJob(1)
	req.Attempts = []Attempt{{Done: true}} // an attempt where other routers would have loaded it
	req.Deadline = at + 75_000
	if p := r.Route(at, req); p.Action != Hold || p.RecheckAt >= req.Deadline {
		t.Errorf("got %+v, want it asked about again before %d", p, req.Deadline)
	}
}

// Where only load commands load and the rate limit denies one, a request is forwarded once to where other routers
// load its function, then held.
func TestJobGoesWhereOthersLoad(t *testing.T) {
	config := deployment()
	config.LoadsOnMiss, config.LoadRateWindow = false, 5*second
	r := fleet(config, 1)
	req := newJob(1)
	if p := r.Route(at, req); p.Action != Forward || len(p.LoadCommands) > 0 {
		t.Fatalf("got %+v, want it sent without an order", p)
	}
	if p := r.HandleOutcome(at+1000, req, Outcome{Server: 1, Result: NotLoaded}); p.Action != Hold {
		t.Errorf("got %+v after a miss, want it held", p)
	}
}

// Many routers must not all crowd onto one replica, nor spread without need: one home, several for a busy
// function.
func TestManyRoutersShareHomes(t *testing.T) {
	for recent, want := range map[int]int{1: 1, 11: 8} { // a tenth of the requests: four servers' share, eight homes
		homes := map[ServerID]int{}
		for number := range 40 {
			config := deployment()
			config.Routers, config.RouterIndex = 40, number
			r := fleet(config, 40)
			f := r.function(newJob(1))
			f.recent, r.recent, r.freshFor = recent, make([]*function, 100), 8*second
			homes[r.loadTarget(at, f, newJob(1), firstReplica).Server]++
		}
		if len(homes) > want || len(homes)*4 < want*3 {
			t.Errorf("%d homes for %d of 100 jobs, want %d or nearly", len(homes), recent, want)
		}
	}
}

// An overloaded server must not keep the requests of many routers, each of which has hardly an attempt in flight
// there.
func TestShunsCrowdedServer(t *testing.T) {
	r := fleet(deployment(), 2)
	inst := stands(r, 1, 0)
	s := inst.server
	s.report, s.reportedAt, r.freshFor = LoadReport{Utilization: 0.95, PendingLoads: -1}, at-second, 8*second
	if p := r.Route(at, newJob(1)); p.Action != Forward || p.Server != 2 {
		t.Errorf("got %+v, want a load on server 2", p)
	}
	s.reportedAt = at - 9*second // too old to count
	if p := r.Route(at, newJob(2)); p.Action != Forward || p.Server != 1 && p.Server != 2 || r.overloaded(at, s) {
		t.Errorf("got %+v, want the old report forgotten", p)
	}
	s.queueing.add(at, 900)
	if !r.overloaded(at, s) {
		t.Error("long queueing of our own job tells of a crowd, too")
	}
}

// One tenant's clients with short deadlines and immediate retries must not take the place of the other tenants'
// requests.
func TestHastySurplusIsPushedBack(t *testing.T) {
	for _, c := range []struct {
		left          Micros
		marks, repeat bool
		want          bool
	}{
		{second / 2, false, false, true},
		{2 * second, false, false, false}, // a long deadline, as in any overload
		{second / 2, true, true, true},
		{second / 2, true, false, false}, // a first attempt, where retries are marked
	} {
		config := deployment()
		config.Quotas, config.ClientsMarkRetries = []float64{10}, c.marks
		r, got := fleet(config, 1), false
		for range 30 { // 2 s of burst and one more are within the quota: 21
			req := newJob(1)
			req.Deadline, req.IsRetry = at+c.left, c.repeat
			got = r.exceedsQuota(at, req)
		}
		if got != c.want {
			t.Errorf("%+v: surplus %v after 30 jobs at once", c, got)
		}
	}
}

// A request that is late already must not run again and add to the overload that made it late.
func TestLateJobIsNotRunAgain(t *testing.T) {
	r := fleet(deployment(), 2)
	stands(r, 2, 0)
	req := sent(second, true)
	req.admitted, req.firstSentAt, req.ArrivedAt = true, at-second, at-second
	if p := r.Route(at, req); p.Action != Reject {
		t.Errorf("got %+v, want it pushed back", p)
	}
}

// Where answers carry no cache status, a request that finds another router's replica is not a load: loads would
// look instant.
func TestQuickAnswerIsNoLoad(t *testing.T) {
	r := fleet(deployment(), 1)
	inst := stands(r, 1, 1)
	inst.replicas, inst.loading = 0, 1
	for _, took := range []Micros{120_000, second} {
		req := newJob(1)
		req.Attempts = []Attempt{{Server: 1, SentAt: at - took, MayHaveRun: true}}
		r.HandleOutcome(at, req,
			Outcome{Server: 1, Result: Succeeded, CacheStatus: CacheUnknown, Duration: took, RequestDone: true})
	}
	if got := r.loadTime(newJob(1)); got != 900_000 {
		t.Errorf("a load takes %d, want 900 ms", got)
	}
}

// With many routers no concurrency limit is reached: each router must shed load by itself when queueing persists.
func TestShedsForAStandingQueue(t *testing.T) {
	r := fleet(deployment(), 1)
	shed := func(strain, fresh Micros) (n int) {
		r.freshFor, r.queueing = fresh, samples{}
		r.queueing.add(at, strain)
		for range 1000 {
			if r.mustShed(at) {
				n++
			}
		}
		return n
	}
	if n := shed(1000, 8*second); n < 400 || n > 600 {
		t.Errorf("%d of 1000 shed for queues of a whole slack, want about half", n)
	}
	if a, b := shed(200, 8*second), shed(1000, rareAnswers); a+b != 0 {
		t.Errorf("%d shed for a short queue, %d where windows tell, want none", a, b)
	}
}

// The probe requests of many routers must not add up to a silent server's normal traffic.
func TestTrialsAreRarerWhereAnswersAre(t *testing.T) {
	r := fleet(deployment(), 1)
	s := r.servers.at(0)
	s.ejections = 1
	if got := r.probeInterval(s); got != second {
		t.Errorf("first trial after %d, want a second", got)
	}
	if r.freshFor = 8 * second; r.probeInterval(s) != 4*second {
		t.Errorf("first trial after %d, want four seconds", r.probeInterval(s))
	}
}

// Functions that no server ever served are forgotten; those with requests held, attempts in flight or loaded
// replicas are not.
func TestTidyForgetsIdleFunctions(t *testing.T) {
	r := fleet(deployment(), 1)
	const names = 1 << 16
	for i := range names {
		req := newJob(RequestID(i))
		req.Function = FunctionID(i)
		r.function(req)
	}
	inst := r.functions[1].instanceOn(r.servers.at(0), true)
	inst.replicas, inst.lastUsed = 1, at
	r.functions[2].instanceOn(r.servers.at(0), true).inFlight = 1
	r.functions[3].held, r.functions[3].waiting = 1, true
	for range 100 {
		r.prune(at)
	}
	if len(r.functionOrder) != len(r.functions) || len(r.functionOrder) > 1<<14 {
		t.Errorf("%d functions in order, %d known", len(r.functionOrder), len(r.functions))
	}
	for id := range FunctionID(4) {
		if kept := r.functions[id] != nil; kept != (id > 0) {
			t.Errorf("function %d: kept %t", id, kept)
		}
	}
}

func TestTidyForgetsServersLongGone(t *testing.T) {
	r := fleet(deployment(), 2)
	stands(r, 1, 0)
	r.UpdateEndpoints(at, FullUpdate, []Endpoint{{Server: 2, State: Ready}})
	r.prune(at + 60*second)
	if r.servers.len != 2 {
		t.Error("forgotten after a minute")
	}
	r.servers.at(0).inFlight = []inFlightAttempt{{}}
	r.prune(at + 3600*second)
	if r.servers.len != 2 {
		t.Error("forgotten with an execution out")
	}
	r.servers.at(0).inFlight = nil
	r.prune(at + 3600*second)
	if r.servers.len != 1 || len(r.functions[7].instances) != 0 {
		t.Errorf("%d servers, %d instances", r.servers.len, len(r.functions[7].instances))
	}
}

// A function that was forgotten and is known again must lose its replicas with a server's restart, like any other.
func TestRestartForgetsCopiesOfAFunctionKnownAgain(t *testing.T) {
	r := fleet(deployment(), 1)
	stands(r, 1, 0).lastUsed = 0
	for i := range 1 << 15 {
		r.function(&Request{Function: FunctionID(1000 + i)})
	}
	for range 100 {
		r.prune(at)
	}
	if r.functions[7] != nil {
		t.Fatal("it was not forgotten")
	}
	inst := stands(r, 1, 0)
	if r.UpdateEndpoints(at+2, IncrementalUpdate, []Endpoint{{Server: 1, State: Ready, StartedAt: at + 1}}); r.loaded(at+2, inst) {
		t.Error("a server that started anew holds nothing")
	}
}

// BenchmarkDistinctFunctions asks a balancer for a function that no server serves, a million different ones.
func BenchmarkDistinctFunctions(b *testing.B) {
	config := deployment()
	config.Classes[0].MaxDeadline = 4 * second
	r := fleet(config, 12)
	now := at
	for i := range b.N {
		now += 200 // 5000 requests per second
		req := newJob(RequestID(i))
		req.Function, req.ArrivedAt, req.Deadline = FunctionID(i), now, now+4*second
		for p := r.Route(now, req); p.Action == Forward; {
			p = r.HandleOutcome(now, req,
				Outcome{Attempt: AttemptID(len(req.Attempts) - 1), Server: p.Server, Result: NotLoaded, Duration: 100})
		}
		r.Cancel(now, req)
		if i%1000 == 0 {
			r.Maintain(now)
		}
	}
	b.ReportMetric(float64(len(r.functions)), "functions")
}

// Requests that wait for the same load count as one load: they must not keep other functions from theirs.
func TestJobsBehindOneLoadCountOnce(t *testing.T) {
	s := &server{inFlight: []inFlightAttempt{{request: &Request{Function: 1}}, {request: &Request{Function: 1}}, {request: &Request{Function: 2}},
		{request: &Request{Function: 3}, toLoaded: true}}}
	if n := s.pendingLoads(); n != 2 {
		t.Errorf("%d functions load, want 2", n)
	}
}

// Routers without shared state would each load the function elsewhere while its own servers are full of loads.
func TestSeveralRoutersWaitForTheFirstTwoServers(t *testing.T) {
	for routers, want := range map[int]int{1: 4, 3: 2} {
		config := deployment()
		config.Routers = routers
		r := fleet(config, 4)
		req := newJob(1)
		n := 0
		target := func() *server { return r.loadTarget(at, r.function(req), req, firstReplica) }
		for s := target(); s != nil; s = target() {
			s.loadsAfter = at + second // accepts no load now
			n++
		}
		if n != want {
			t.Errorf("%d routers tried %d servers, want %d", routers, n, want)
		}
	}
}

// With a latency objective shorter than a load few requests are held at a time: those shed for want of slack count
// too.
func TestTurnedJobsCountInTheCheck(t *testing.T) {
	for turned, want := range map[int]bool{0: false, 12: true} {
		r := fleet(deployment(), 2)
		inst := stands(r, 1, 18)
		f := r.functions[7]
		inst.server.concurrencyLimit, inst.server.running, f.lastRequest = 100, 18, newJob(1)
		f.execTimes.add(at, 100_000)
		f.held, f.heldSince = 8, at-second
		for range turned {
			r.noteShed(at, second, f)
		}
		r.checkReplicas(at, f)
		if got := f.loadsDue > 0; got != want {
			t.Errorf("%d turned away: another copy %v, want %v", turned, got, want)
		}
	}
}

// A refused load keeps loads from a server only until one of its own loads may have ended.
func TestRefusedLoadIsSoonTriedAgain(t *testing.T) {
	r := fleet(deployment(), 1)
	req := newJob(1)
	r.Route(at, req)
	p := r.HandleOutcome(at+1000, req, Outcome{Server: 1, Result: Overloaded})
	if p.Action != Hold {
		t.Fatalf("got %+v right after a refusal, want it held", p)
	}
	if p = r.Route(at+100_000, req); p.Action != Forward {
		t.Errorf("got %+v a tenth of a second later, want another try", p)
	}
}

// A server that answers everything with an immediate error looks like the emptiest of all.
func TestServerThatErrsIsLeftAlone(t *testing.T) {
	r := fleet(deployment(), 1)
	stands(r, 1, 0)
	for id := range RequestID(3) {
		req := newJob(id)
		req.Attempts = []Attempt{{Server: 1, SentAt: at, MayHaveRun: true, toLoaded: true}}
		r.servers.at(0).running++
		r.HandleOutcome(at, req, Outcome{Server: 1, Result: Failed})
	}
	if s := r.servers.at(0); s.healthy() || s.backoffUntil <= at {
		t.Errorf("after three errors in a row: sound %v, avoided until %d", s.healthy(), s.backoffUntil)
	}
}
