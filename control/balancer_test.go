package control

import "testing"

const second = 1_000_000

// testNow is the time of most test events: late enough that no server and no router is in slow start.
const testNow = Micros(100 * second)

func testDeployment() Deployment {
	return Deployment{Routers: 1, Tick: 4000, MaxAttempts: 3, SupportsCancel: true,
		SlowStartInitial: 0.25, SlowStartDuration: 10 * second,
		OverloadWindow: second, OverloadFactor: 4, KeepAlive: 10 * second, SupportsLoadCommands: true, LoadsOnMiss: true,
		Classes: []Class{{LatencyObjective: second, DedupWindow: 5 * second}}}
}

// newTestBalancer returns a balancer that knows n healthy servers, numbered from 1, all started long ago.
func newTestBalancer(config Deployment, n int) *Balancer {
	b := New(0, 1, config)
	for i := range n {
		b.servers.insert(&server{listed: true,
			Endpoint: Endpoint{Server: ServerID(i + 1), State: Ready, Weight: 1}})
	}
	b.rebuildIndex()
	return b
}

// newRequest returns a request with 100 ms of work for function 7 and a deadline 4 s ahead.
func newRequest(id RequestID) *Request {
	return &Request{ID: id, Function: 7, Lanes: 2, ExecTimeHint: 100_000, ArrivedAt: testNow, Deadline: testNow + 4*second}
}

// addReplica gives a server a loaded replica of function 7 with the given number of attempts of this router in flight.
func addReplica(b *Balancer, server, inFlight int) *instance {
	inst := b.function(newRequest(0)).instanceOn(b.servers.at(server-1), true)
	inst.replicas, inst.lastUsed, inst.inFlight = 1, testNow, inFlight
	return inst
}

// requestWithAttempt returns a request with one finished attempt on server 1 that was sent the given time ago.
func requestWithAttempt(ago Micros, mayHaveRun bool) *Request {
	req := newRequest(1)
	req.Attempts = []Attempt{{Server: 1, Zone: 1, Cell: 1, SentAt: testNow - ago, Done: true, MayHaveRun: mayHaveRun}}
	return req
}

func TestFullestFirst(t *testing.T) {
	for want, inFlight := range map[ServerID][]int{
		2: {0, 1, 2}, // the fullest of the two with a free lane
		3: {3, 4, 5}, // otherwise the one with the fewest free slots
	} {
		b := newTestBalancer(testDeployment(), 3)
		for i, n := range inFlight {
			addReplica(b, i+1, n)
		}
		if d := b.Route(testNow, newRequest(1)); d.Action != Forward || d.Server != want {
			t.Errorf("%v in flight: got %+v, want server %d", inFlight, d, want)
		}
	}
}

func TestSlots(t *testing.T) {
	for _, c := range []struct {
		name              string
		routers           int
		replicas, loading int
		lastUsed          Micros
		want              int
	}{
		{"B slots a lane: (1 s - 0.1 s) / 0.1 s x 2 lanes", 1, 1, 0, testNow, 18},
		{"divided by the routers", 4, 1, 0, testNow, 4},
		{"at least one", 40, 1, 0, testNow, 1},
		{"a loading one offers its lanes", 1, 0, 1, testNow, 2},
		{"unused for longer than the keep-alive time", 1, 1, 0, testNow - 11*second, 0},
	} {
		config := testDeployment()
		config.Routers = c.routers
		b := newTestBalancer(config, 1)
		inst := addReplica(b, 1, 0)
		inst.replicas, inst.loading, inst.loadingSince, inst.lastUsed = c.replicas, c.loading, testNow, c.lastUsed
		b.servers.at(0).concurrencyLimit = 100
		if got := b.slots(testNow, inst, b.functions[7], b.slotsPerLane(b.functions[7], newRequest(1))); got != c.want {
			t.Errorf("%s: got %d slots, want %d", c.name, got, c.want)
		}
	}
}

func TestHeldWhileReplicaIsFull(t *testing.T) {
	b := newTestBalancer(testDeployment(), 2)
	addReplica(b, 1, 18)
	d := b.Route(testNow, newRequest(1))
	if d.Action != Hold || len(d.LoadCommands) != 0 || b.functions[7].held != 1 {
		t.Errorf("got %+v with %d held, want it held without a load", d, b.functions[7].held)
	}
}

func TestLeastSlackRanksFirst(t *testing.T) {
	b, early, late := newTestBalancer(testDeployment(), 1), newRequest(1), newRequest(2)
	if late.ArrivedAt += 1000; b.Rank(testNow, early) >= b.Rank(testNow, late) {
		t.Error("the request with less slack must rank first")
	}
}

func TestLoadsAtOnceWithoutReplica(t *testing.T) {
	b := newTestBalancer(testDeployment(), 3)
	d := b.Route(testNow, newRequest(1))
	if d.Action != Forward || len(d.LoadCommands) != 0 {
		t.Errorf("got %+v, want the request forwarded, which starts the load", d)
	}
}

func TestReplicaCheckNeedsDelayAndQueue(t *testing.T) {
	for _, c := range []struct {
		name  string
		held  int
		since Micros // start of holding
		want  int
	}{
		{"delay under slack", 60, testNow - 500_000, 0},
		{"queue shorter than a load", 10, testNow - 950_000, 0},
		{"both", 60, testNow - 950_000, 3},
	} {
		b := newTestBalancer(testDeployment(), 2)
		addReplica(b, 1, 18)
		b.servers.at(0).concurrencyLimit = 100
		b.loadTimes.add(testNow, 2*second)
		f := b.functions[7]
		f.held, f.heldSince, f.lastRequest = c.held, c.since, newRequest(1)
		if b.checkReplicas(testNow, f); f.loadsDue != c.want {
			t.Errorf("%s: got %d loads due, want %d", c.name, f.loadsDue, c.want)
		}
	}
}

// Requests must not wait for replicas on servers that are removed, draining, ejected or rejecting everything.
func TestReplicasOnUnhealthyServersDontHoldRequests(t *testing.T) {
	for name, makeUnhealthy := range map[string]func(s *server){
		"removed":            func(s *server) { s.State = Removed },
		"draining":           func(s *server) { s.State = Draining },
		"ejected":            func(s *server) { s.ejected, s.probeAt = true, testNow+second },
		"rejecting":          func(s *server) { s.rejections, s.backoffUntil = 5, testNow+second },
		"removed while full": func(s *server) { s.State, s.concurrencyLimit = Removed, 1 },
	} {
		b := newTestBalancer(testDeployment(), 2)
		addReplica(b, 1, 0)
		makeUnhealthy(b.servers.at(0))
		if d := b.Route(testNow, newRequest(1)); d.Action != Forward || d.Server != 2 {
			t.Errorf("%s: got %+v, want a load on server 2", name, d)
		}
	}
}

// In an overload, routing by least slack would serve every request just too late if late requests were not rejected.
func TestLateRequestRejectedOnCrowdedServer(t *testing.T) {
	b := newTestBalancer(testDeployment(), 1)
	addReplica(b, 1, 1)
	b.servers.at(0).concurrencyLimit, b.servers.at(0).running = 10, 6
	req := newRequest(1)
	req.ArrivedAt = testNow - 850_000
	if d := b.Route(testNow, req); d.Action != Reject {
		t.Errorf("crowded: got %+v, want it rejected", d)
	}
	b.servers.at(0).running = 1
	if d := b.Route(testNow, req); d.Action != Forward {
		t.Errorf("free: got %+v, want it forwarded", d)
	}
}

// Replicas of many functions share a server's cores: queueing there must lower its concurrency limit.
func TestConcurrencyLimitAdaptsToQueueing(t *testing.T) {
	b := newTestBalancer(testDeployment(), 1)
	s := b.servers.at(0)
	s.concurrencyLimit, s.running = 10, 9
	b.adaptConcurrencyLimit(testNow, s, 100)
	if s.concurrencyLimit <= 10 {
		t.Errorf("limit %v after an answer in time, want it higher", s.concurrencyLimit)
	}
	for range 8 {
		b.adaptConcurrencyLimit(testNow, s, 900)
	}
	if s.concurrencyLimit > 8 {
		t.Errorf("limit %v after long queueing, want it lower", s.concurrencyLimit)
	}
}

// A full load queue says nothing about the loaded replicas on the server, so only loads must stop.
func TestRejectedLoadBlocksLoadsOnly(t *testing.T) {
	b := newTestBalancer(testDeployment(), 1)
	inst := addReplica(b, 1, 1)
	inst.replicas, inst.loading = 0, 1
	req := newRequest(1)
	req.Attempts = []Attempt{{Server: 1, SentAt: testNow - 1000, MayHaveRun: true}}
	b.HandleOutcome(testNow, req, Outcome{Server: 1, Result: Overloaded})
	if s := b.servers.at(0); s.loadBackoffUntil <= testNow || s.backoffUntil > testNow || inst.loading != 0 {
		t.Errorf("load backoff until %d, backoff until %d, %d loading", s.loadBackoffUntil, s.backoffUntil, inst.loading)
	}
}

func TestSilentServerIsEjected(t *testing.T) {
	b := newTestBalancer(testDeployment(), 4)
	b.latencies.add(testNow, 100_000)
	for s := range b.servers.all {
		req := newRequest(RequestID(s.Server))
		req.Attempts = []Attempt{{Server: s.Server, MayHaveRun: true}}
		s.inFlight = []inFlightAttempt{{request: req, sentAt: testNow - second, toLoaded: true}}
		s.lastAnswer = testNow - 10_000
	}
	b.servers.at(2).lastAnswer = testNow - second
	b.rebuildIndex()
	b.ejectSilentServers(testNow)
	if !b.servers.at(2).ejected || b.servers.at(1).ejected || len(b.cancellations) != 1 {
		t.Errorf("wrong servers ejected, or %d cancellations, want 1", len(b.cancellations))
	}
	for s := range b.servers.all {
		s.ejected, s.lastAnswer = false, testNow-second
	}
	if b.ejectSilentServers(testNow); b.servers.at(0).ejected {
		t.Error("no server may be ejected where the answers of all are overdue")
	}
}

func TestRestartDropsReplicas(t *testing.T) {
	b := newTestBalancer(testDeployment(), 1)
	inst := addReplica(b, 1, 0)
	b.UpdateEndpoints(testNow+2, IncrementalUpdate, []Endpoint{{Server: 1, State: Ready, StartedAt: testNow + 1}})
	if b.loaded(testNow+2, inst) {
		t.Error("a restarted server holds no replicas")
	}
}

// Rule 1: a request is answered before its deadline.
func TestRequestEndsBeforeDeadline(t *testing.T) {
	b := newTestBalancer(testDeployment(), 1)
	addReplica(b, 1, 18)
	req := newRequest(1)
	d := b.Route(testNow, req)
	if d.Action != Hold || d.RecheckAt >= req.Deadline {
		t.Fatalf("got %+v, want it held and rechecked before %d", d, req.Deadline)
	}
	if d = b.Route(req.Deadline-10_000, req); d.Action != Reject {
		t.Errorf("got %+v, want it rejected", d)
	}
}

// Rule 2: which requests may be retried, where, and how they end.
func TestRetries(t *testing.T) {
	for _, c := range []struct {
		name        string
		idempotency Idempotency
		scope       DedupScope
		ago         Micros
		mayHaveRun  bool
		want        Action
		server      ServerID
	}{
		{"idempotent", Idempotent, WholeFleet, second, true, Forward, 2},
		{"non-idempotent, may have run", NonIdempotent, WholeFleet, second, true, Fail, 0},
		{"non-idempotent, did not run", NonIdempotent, WholeFleet, second, false, Forward, 2},
		{"idempotent by key, within its window", IdempotentByKey, WholeFleet, second, true, Forward, 2},
		{"idempotent by key, after its window", IdempotentByKey, WholeFleet, 5 * second, true, Reject, 0},
		{"idempotent by key in one cell, after its window", IdempotentByKey, OneCell, 5 * second, true, Fail, 0},
		{"idempotent by key, replica in another cell", IdempotentByKey, OneCell, second, true, Hold, 0},
		{"idempotent by key, replica in another zone", IdempotentByKey, OneZone, second, true, Hold, 0},
	} {
		config := testDeployment()
		config.Classes[0].Idempotency, config.Classes[0].DedupScope = c.idempotency, c.scope
		b := newTestBalancer(config, 2)
		addReplica(b, 2, 0)
		if d := b.Route(testNow, requestWithAttempt(c.ago, c.mayHaveRun)); d.Action != c.want || d.Server != c.server {
			t.Errorf("%s: got %+v, want action %d, server %d", c.name, d, c.want, c.server)
		}
	}
}

func TestOneAttemptAtATime(t *testing.T) {
	b := newTestBalancer(testDeployment(), 1)
	addReplica(b, 1, 0)
	req := requestWithAttempt(second, true)
	req.Attempts[0].Done = false
	if d := b.Route(testNow, req); d.Action != NoAction {
		t.Errorf("got %+v while an attempt is in flight", d)
	}
}

// Rule 3: nothing new goes to a server that drains or is removed, not even a load.
func TestNothingSentToDrainingServers(t *testing.T) {
	for _, state := range []ServerState{Draining, Removed} {
		b := newTestBalancer(testDeployment(), 1)
		addReplica(b, 1, 0)
		b.UpdateEndpoints(testNow, IncrementalUpdate, []Endpoint{{Server: 1, State: state}})
		if d := b.Route(testNow, newRequest(1)); d.Action != Hold || len(d.LoadCommands) != 0 {
			t.Errorf("state %d: got %+v, want nothing sent", state, d)
		}
	}
}

// Rule 4: a server in slow start gets this router's fraction of its budget, and many routers take turns.
func TestSlowStartBudget(t *testing.T) {
	b := newTestBalancer(testDeployment(), 2)
	starting := b.servers.at(1)
	for i := range 400 { // 20 answers per second from each server
		b.answers = append(b.answers, testNow-second+Micros(i))
	}
	starting.StartedAt = testNow - second
	b.rebuildIndex()
	b.capacityHistory = capacityHistory{periods: []CapacityPeriod{{testNow - 10*second, testNow, 1.325}}, asOf: testNow} // as if the capacity had been constant
	b.updateAnswerRate(testNow)
	// A capacity of 1 + 0.325 servers gives 40 answers per second, so a server at full capacity gives 30.2. The budget
	// for a window of a second is 0.8 x 4 x 0.325 x 30.2 = 31.4 requests.
	b.deployment.RouterIndex = 2 // another router has the turn for the fractional request
	for i := range 31 {
		if !b.withinSlowStartBudget(testNow, starting) {
			t.Fatalf("refused after %d requests", i)
		}
		starting.slowStartSends = append(starting.slowStartSends, testNow)
	}
	if b.withinSlowStartBudget(testNow, starting) {
		t.Error("32 requests allowed within one window")
	}
	if !b.withinSlowStartBudget(testNow+second+1, starting) {
		t.Error("refused after the window has passed")
	}
	allowed := 0
	for routerIndex := range 200 {
		config := testDeployment()
		config.Routers, config.RouterIndex = 200, routerIndex
		b := newTestBalancer(config, 2)
		b.servers.at(1).StartedAt = testNow - second
		b.rebuildIndex()
		// A tenth of an answer per second from each of 200 servers: 20 in all.
		b.answers = []Micros{testNow - second, testNow - second}
		b.updateAnswerRate(testNow)
		if b.withinSlowStartBudget(testNow, b.servers.at(1)) {
			allowed++
		}
	}
	if allowed == 0 || allowed > 31 {
		t.Errorf("%d of 200 routers may send in a window, want 31 at most", allowed)
	}
}

// Rule 5: the rate of load commands is limited.
func TestLoadRateLimit(t *testing.T) {
	config := testDeployment()
	config.LoadRateWindow, config.LoadRateBase, config.LoadRatePerRequest = 5*second, 1, 0.5
	b := newTestBalancer(config, 1)
	b.admitted = []Micros{testNow, testNow}
	if got := []bool{b.loadCommandAllowed(testNow), b.loadCommandAllowed(testNow), b.loadCommandAllowed(testNow)}; !got[0] || !got[1] || got[2] {
		t.Errorf("got %v, want two load commands within the limit", got)
	}
}

// Load commands count when they arrive at the server: one that waited for its connection may still fall into the
// window, and requests admitted before the window do not count.
func TestLoadRateLimitWithDelayedCommands(t *testing.T) {
	config := testDeployment()
	config.LoadRateWindow, config.LoadRateBase, config.LoadRatePerRequest, config.MaxCommandDelay = 5*second, 1, 1, second/4
	for name, c := range map[string]struct{ loadCommands, admitted []Micros }{
		"a delayed command":           {[]Micros{testNow - 5*second - second/5}, nil},
		"a request before the window": {[]Micros{testNow - second}, []Micros{testNow - 5*second + second/5}},
	} {
		b := newTestBalancer(config, 1)
		if b.loadCommands, b.admitted = c.loadCommands, c.admitted; b.loadCommandAllowed(testNow) {
			t.Errorf("%s: another load command was allowed", name)
		}
	}
}

// A flaky network breaks some connections while other requests are answered, which is no crash of the server.
func TestOneConnectionFailureDoesNotEject(t *testing.T) {
	b := newTestBalancer(testDeployment(), 1)
	inst, s := addReplica(b, 1, 0), b.servers.at(0)
	inst.lastUsed = testNow - 1000
	b.latencies.add(testNow, 100_000)
	s.lastAnswer = testNow - 1000
	if b.recordConnectionFailure(testNow, s); s.ejected || inst.replicas != 1 {
		t.Error("one connection failure just after an answer ejected the server or dropped its replica")
	}
	if b.recordConnectionFailure(testNow, s); !s.ejected || inst.replicas != 0 {
		t.Error("two connection failures with no answer in between count as a crash")
	}
}

// Retries must not take the place of requests that can still be in time.
func TestFirstSentAt(t *testing.T) {
	for _, c := range []struct {
		name               string
		clientsMarkRetries bool
		retriesUnmarked    bool // the client marks no retries
		timeout            Micros
		want               Micros
	}{
		{"first attempt", false, false, 3 * second, testNow},
		{"timeout shortened by earlier attempts", false, false, 2 * second, testNow - 2*second},
		{"short timeout, where retries are marked", true, false, 2 * second, testNow},
		{"a client that marks none, where others do", true, true, 2 * second, testNow - 2*second},
	} {
		config := testDeployment()
		config.ClientsMarkRetries, config.Classes[0].MaxDeadline = c.clientsMarkRetries, 4*second
		b := newTestBalancer(config, 1)
		for range 15 {
			b.timeouts[0].add(testNow, 3*second)
		}
		req := newRequest(1)
		req.Deadline, req.RetriesUnmarked = testNow+c.timeout, c.retriesUnmarked
		if got := b.firstSentAt(testNow, req); got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}
}

// A few heavy requests must not distort the execution time, and with it B.
func TestExecutionTimeLeavesOutTheFarTail(t *testing.T) {
	b := newTestBalancer(testDeployment(), 1)
	req := newRequest(1)
	req.ExecTimeHint = 0
	f := b.function(req)
	for _, v := range []Micros{100_000, 120_000, 80_000, 100_000, 3 * second} {
		f.execTimes.add(testNow, v)
	}
	if got := b.execTime(f, req); got != 100_000 {
		t.Errorf("got %d, want the mean of the four usual ones", got)
	}
}

// A full fleet gains nothing from additional replicas.
func TestAdditionalReplicaNeedsFreeServer(t *testing.T) {
	b := newTestBalancer(testDeployment(), 2)
	addReplica(b, 1, 0)
	full, s := b.servers.at(0), b.servers.at(1)
	full.concurrencyLimit, full.running = 10, 9
	s.concurrencyLimit, s.running = 10, 8
	if got := b.loadTarget(testNow, b.functions[7], newRequest(1), additionalReplica); got != nil {
		t.Errorf("got server %d, want none", got.Server)
	}
	s.running = 2
	if got := b.loadTarget(testNow, b.functions[7], newRequest(1), additionalReplica); got == nil || got.Server != 2 {
		t.Errorf("got %v, want server 2", got)
	}
}

// An ejected server without known replicas must be readmitted: at once with a listed restart, otherwise by a probe
// request.
func TestEjectedServerIsReadmitted(t *testing.T) {
	b := newTestBalancer(testDeployment(), 1)
	s := b.servers.at(0)
	s.ejected, s.probeAt = true, testNow+second
	if d := b.Route(testNow, newRequest(1)); d.Action != Hold {
		t.Errorf("got %+v before a probe is due", d)
	}
	if d := b.Route(testNow+second, newRequest(2)); d.Action != Forward || s.probeAt <= testNow+second {
		t.Errorf("got %+v, next probe at %d; want one probe request", d, s.probeAt)
	}
	b.UpdateEndpoints(testNow+second, IncrementalUpdate, []Endpoint{{Server: 1, State: Ready, StartedAt: testNow + second}})
	if s.ejected {
		t.Error("a listed restart ends the ejection")
	}
}

// Rule 1: a request whose load may not be commanded yet must also be rechecked before its deadline.
func TestWaitForLoadCommandEndsBeforeDeadline(t *testing.T) {
	config := testDeployment()
	config.LoadsOnMiss, config.SupportsLoadCommands = false, false
	b := newTestBalancer(config, 1)
	req := newRequest(1)
	req.Attempts = []Attempt{{Done: true}} // an attempt at the server where other routers would have loaded it
	req.Deadline = testNow + 75_000
	if d := b.Route(testNow, req); d.Action != Hold || d.RecheckAt >= req.Deadline {
		t.Errorf("got %+v, want it held and rechecked before %d", d, req.Deadline)
	}
}

// Where functions are loaded only by command and the rate limit denies one, a request is forwarded once to the server
// on which other routers load its function, then held.
func TestForwardedOnceWhenLoadRateLimited(t *testing.T) {
	config := testDeployment()
	config.LoadsOnMiss, config.LoadRateWindow = false, 5*second
	b := newTestBalancer(config, 1)
	req := newRequest(1)
	if d := b.Route(testNow, req); d.Action != Forward || len(d.LoadCommands) > 0 {
		t.Fatalf("got %+v, want it forwarded without a load command", d)
	}
	if d := b.HandleOutcome(testNow+1000, req, Outcome{Server: 1, Result: NotLoaded}); d.Action != Hold {
		t.Errorf("got %+v after a miss, want it held", d)
	}
}

// Many routers must not all use one replica, nor spread over more servers than needed: a function has one home, a busy
// one has several.
func TestManyRoutersShareHomes(t *testing.T) {
	for recent, want := range map[int]int{1: 1, 11: 8} { // a tenth of the requests is the share of four servers, so eight homes
		homes := map[ServerID]int{}
		for routerIndex := range 40 {
			config := testDeployment()
			config.Routers, config.RouterIndex = 40, routerIndex
			b := newTestBalancer(config, 40)
			f := b.function(newRequest(1))
			f.recentRequests, b.recentFunctions, b.observationTTL = recent, make([]*function, 100), 8*second
			homes[b.loadTarget(testNow, f, newRequest(1), firstReplica).Server]++
		}
		if len(homes) > want || len(homes)*4 < want*3 {
			t.Errorf("%d homes for %d of 100 requests, want at most %d and at least three quarters of that", len(homes), recent, want)
		}
	}
}

// An overloaded server must get no requests, even from many routers that each have hardly an attempt in flight there.
func TestAvoidsOverloadedServer(t *testing.T) {
	b := newTestBalancer(testDeployment(), 2)
	inst := addReplica(b, 1, 0)
	s := inst.server
	s.report, s.reportedAt, b.observationTTL = LoadReport{Utilization: 0.95, PendingLoads: -1}, testNow-second, 8*second
	if d := b.Route(testNow, newRequest(1)); d.Action != Forward || d.Server != 2 {
		t.Errorf("got %+v, want a load on server 2", d)
	}
	s.reportedAt = testNow - 9*second // too old to count
	if d := b.Route(testNow, newRequest(2)); d.Action != Forward || d.Server != 1 && d.Server != 2 || b.overloaded(testNow, s) {
		t.Errorf("got %+v, want the old report ignored", d)
	}
	s.queueing.add(testNow, 900)
	if !b.overloaded(testNow, s) {
		t.Error("long queueing of this router's own requests counts as overload, too")
	}
}

// Clients with short deadlines and immediate retries must not take capacity from other tenants.
func TestShortDeadlinesOverQuotaAreRejected(t *testing.T) {
	for _, c := range []struct {
		timeout                     Micros
		clientsMarkRetries, isRetry bool
		want                        bool
	}{
		{second / 2, false, false, true},
		{2 * second, false, false, false}, // a long deadline, as in any overload
		{second / 2, true, true, true},
		{second / 2, true, false, false}, // a first attempt, where retries are marked
	} {
		config := testDeployment()
		config.Quotas, config.ClientsMarkRetries = []float64{10}, c.clientsMarkRetries
		b, got := newTestBalancer(config, 1), false
		for range 30 { // a burst of 2 s and one more are within the quota: 21 requests
			req := newRequest(1)
			req.Deadline, req.IsRetry = testNow+c.timeout, c.isRetry
			got = b.exceedsQuota(testNow, req)
		}
		if got != c.want {
			t.Errorf("%+v: over quota %v after 30 requests at once", c, got)
		}
	}
}

// A request that is late already must not be attempted again, which would add to the overload that made it late.
func TestLateRequestIsNotRetried(t *testing.T) {
	b := newTestBalancer(testDeployment(), 2)
	addReplica(b, 2, 0)
	req := requestWithAttempt(second, true)
	req.admitted, req.firstSentAt, req.ArrivedAt = true, testNow-second, testNow-second
	if d := b.Route(testNow, req); d.Action != Reject {
		t.Errorf("got %+v, want it rejected", d)
	}
}

// Where answers carry no cache status, a quick answer comes from a replica that another router loaded. Counted as a
// load, it would make loads look instant.
func TestQuickAnswerIsNotALoad(t *testing.T) {
	b := newTestBalancer(testDeployment(), 1)
	inst := addReplica(b, 1, 1)
	inst.replicas, inst.loading = 0, 1
	for _, took := range []Micros{120_000, second} {
		req := newRequest(1)
		req.Attempts = []Attempt{{Server: 1, SentAt: testNow - took, MayHaveRun: true}}
		b.HandleOutcome(testNow, req,
			Outcome{Server: 1, Result: Succeeded, CacheStatus: CacheUnknown, Duration: took, RequestDone: true})
	}
	if got := b.loadTime(newRequest(1)); got != 900_000 {
		t.Errorf("a load takes %d us, want 900 ms", got)
	}
}

// With many routers no concurrency limit is reached, so each router must shed load by itself while queueing persists.
func TestShedsForAStandingQueue(t *testing.T) {
	b := newTestBalancer(testDeployment(), 1)
	shed := func(queueing, observationTTL Micros) (n int) {
		b.observationTTL, b.queueing = observationTTL, samples{}
		b.queueing.add(testNow, queueing)
		for range 1000 {
			if b.mustShed(testNow) {
				n++
			}
		}
		return n
	}
	if n := shed(1000, 8*second); n < 400 || n > 600 {
		t.Errorf("%d of 1000 shed for a queueing delay of the whole slack, want about half", n)
	}
	if short, adapting := shed(200, 8*second), shed(1000, rareAnswerInterval); short+adapting != 0 {
		t.Errorf("%d shed for a short queue, %d where concurrency limits adapt, want none", short, adapting)
	}
}

// The probe requests of many routers must not add up to the normal traffic of a silent server.
func TestProbesAreRarerWhereAnswersAreRare(t *testing.T) {
	b := newTestBalancer(testDeployment(), 1)
	s := b.servers.at(0)
	s.ejections = 1
	if got := b.probeInterval(s); got != second {
		t.Errorf("first probe after %d us, want a second", got)
	}
	if b.observationTTL = 8 * second; b.probeInterval(s) != 4*second {
		t.Errorf("first probe after %d us, want four seconds", b.probeInterval(s))
	}
}

// Functions that no server ever served are dropped; those with held requests, attempts in flight or loaded replicas are
// not.
func TestPruneDropsIdleFunctions(t *testing.T) {
	b := newTestBalancer(testDeployment(), 1)
	const functions = 1 << 16
	for i := range functions {
		req := newRequest(RequestID(i))
		req.Function = FunctionID(i)
		b.function(req)
	}
	inst := b.functions[1].instanceOn(b.servers.at(0), true)
	inst.replicas, inst.lastUsed = 1, testNow
	b.functions[2].instanceOn(b.servers.at(0), true).inFlight = 1
	b.functions[3].held, b.functions[3].checkPending = 1, true
	for range 100 {
		b.prune(testNow)
	}
	if len(b.functionOrder) != len(b.functions) || len(b.functionOrder) > 1<<14 {
		t.Errorf("%d functions in order, %d known", len(b.functionOrder), len(b.functions))
	}
	for id := range FunctionID(4) {
		if kept := b.functions[id] != nil; kept != (id > 0) {
			t.Errorf("function %d: kept %t", id, kept)
		}
	}
}

// TestPruneDropsIdleFunctionsWhileNewOnesCome guards against functions that are kept for good because new ones come between any two calls.
func TestPruneDropsIdleFunctionsWhileNewOnesCome(t *testing.T) {
	const (
		perCall = 200
		calls   = 1000
		inUse   = 100 // calls for which a new function is in use: more functions than Maintain keeps without checking them
	)
	b := newTestBalancer(testDeployment(), 1)
	next, most := FunctionID(0), 0
	for range calls {
		for range perCall {
			req := newRequest(RequestID(next))
			req.Function = next
			b.function(req).recentRequests = 1
			if f := b.functions[next-inUse*perCall]; f != nil {
				f.recentRequests = 0
			}
			next++
		}
		b.prune(testNow)
		most = max(most, len(b.functions))
	}
	const passes = 2 * (inUse*perCall/(1<<11) + 1) // calls until all are checked twice
	if allowed := (inUse + passes) * perCall; most > allowed || len(b.functionOrder) != len(b.functions) {
		t.Errorf("%d functions at most, %d in order and %d known at the end, %d allowed", most, len(b.functionOrder), len(b.functions), allowed)
	}
}

func TestPruneDropsRemovedServers(t *testing.T) {
	b := newTestBalancer(testDeployment(), 2)
	addReplica(b, 1, 0)
	b.UpdateEndpoints(testNow, FullUpdate, []Endpoint{{Server: 2, State: Ready}})
	b.prune(testNow + 60*second)
	if b.servers.len != 2 {
		t.Error("dropped after a minute")
	}
	b.servers.at(0).inFlight = []inFlightAttempt{{}}
	b.prune(testNow + 3600*second)
	if b.servers.len != 2 {
		t.Error("dropped with an attempt in flight")
	}
	b.servers.at(0).inFlight = nil
	b.prune(testNow + 3600*second)
	if b.servers.len != 1 || len(b.functions[7].instances) != 0 {
		t.Errorf("%d servers, %d instances", b.servers.len, len(b.functions[7].instances))
	}
}

// A function that was dropped and added again must lose its replicas when their server restarts, like any other.
func TestRestartDropsReplicasOfReaddedFunction(t *testing.T) {
	b := newTestBalancer(testDeployment(), 1)
	addReplica(b, 1, 0).lastUsed = 0
	for i := range 1 << 15 {
		b.function(&Request{Function: FunctionID(1000 + i)})
	}
	for range 100 {
		b.prune(testNow)
	}
	if b.functions[7] != nil {
		t.Fatal("function 7 was not dropped")
	}
	inst := addReplica(b, 1, 0)
	if b.UpdateEndpoints(testNow+2, IncrementalUpdate, []Endpoint{{Server: 1, State: Ready, StartedAt: testNow + 1}}); b.loaded(testNow+2, inst) {
		t.Error("a restarted server holds no replicas")
	}
}

// BenchmarkDistinctFunctions routes each request for another function that no server serves.
func BenchmarkDistinctFunctions(b *testing.B) {
	config := testDeployment()
	config.Classes[0].MaxDeadline = 4 * second
	balancer := newTestBalancer(config, 12)
	now := testNow
	for i := range b.N {
		now += 200 // 5000 requests per second
		req := newRequest(RequestID(i))
		req.Function, req.ArrivedAt, req.Deadline = FunctionID(i), now, now+4*second
		for d := balancer.Route(now, req); d.Action == Forward; {
			d = balancer.HandleOutcome(now, req,
				Outcome{Attempt: AttemptID(len(req.Attempts) - 1), Server: d.Server, Result: NotLoaded, Duration: 100})
		}
		balancer.Cancel(now, req)
		if i%1000 == 0 {
			balancer.Maintain(now)
		}
	}
	b.ReportMetric(float64(len(balancer.functions)), "functions")
}

// Requests that wait for the same load count as one pending load, so that they don't keep other functions from loading.
func TestRequestsForOneLoadCountOnce(t *testing.T) {
	s := &server{inFlight: []inFlightAttempt{{request: &Request{Function: 1}}, {request: &Request{Function: 1}}, {request: &Request{Function: 2}},
		{request: &Request{Function: 3}, toLoaded: true}}}
	if n := s.pendingLoads(); n != 2 {
		t.Errorf("%d functions load, want 2", n)
	}
}

// With several routers only two servers are tried for a load: otherwise each router would load the function elsewhere
// while the usual servers are full of loads.
func TestSeveralRoutersWaitForTheFirstTwoServers(t *testing.T) {
	for routers, want := range map[int]int{1: 4, 3: 2} {
		config := testDeployment()
		config.Routers = routers
		b := newTestBalancer(config, 4)
		req := newRequest(1)
		n := 0
		target := func() *server { return b.loadTarget(testNow, b.function(req), req, firstReplica) }
		for s := target(); s != nil; s = target() {
			s.loadBackoffUntil = testNow + second // accepts no load now
			n++
		}
		if n != want {
			t.Errorf("%d routers tried %d servers, want %d", routers, n, want)
		}
	}
}

// With a latency objective shorter than a load few requests are held at a time, so those shed for lack of slack must
// count too.
func TestShedRequestsCountInReplicaCheck(t *testing.T) {
	for shed, want := range map[int]bool{0: false, 12: true} {
		b := newTestBalancer(testDeployment(), 2)
		inst := addReplica(b, 1, 18)
		f := b.functions[7]
		inst.server.concurrencyLimit, inst.server.running, f.lastRequest = 100, 18, newRequest(1)
		f.execTimes.add(testNow, 100_000)
		f.held, f.heldSince = 8, testNow-second
		for range shed {
			b.recordShed(testNow, second, f)
		}
		b.checkReplicas(testNow, f)
		if got := f.loadsDue > 0; got != want {
			t.Errorf("%d shed: another replica %v, want %v", shed, got, want)
		}
	}
}

// A server that refused a load gets another one soon, when one of its own loads may have ended.
func TestRejectedLoadIsRetriedSoon(t *testing.T) {
	b := newTestBalancer(testDeployment(), 1)
	req := newRequest(1)
	b.Route(testNow, req)
	d := b.HandleOutcome(testNow+1000, req, Outcome{Server: 1, Result: Overloaded})
	if d.Action != Hold {
		t.Fatalf("got %+v right after the load was refused, want it held", d)
	}
	if d = b.Route(testNow+100_000, req); d.Action != Forward {
		t.Errorf("got %+v a tenth of a second later, want it forwarded again", d)
	}
}

// A server that answers everything with an immediate error looks idle, and must not attract requests.
func TestFailingServerIsAvoided(t *testing.T) {
	b := newTestBalancer(testDeployment(), 1)
	addReplica(b, 1, 0)
	for id := range RequestID(3) {
		req := newRequest(id)
		req.Attempts = []Attempt{{Server: 1, SentAt: testNow, MayHaveRun: true, toLoaded: true}}
		b.servers.at(0).running++
		b.HandleOutcome(testNow, req, Outcome{Server: 1, Result: Failed})
	}
	if s := b.servers.at(0); s.healthy() || s.backoffUntil <= testNow {
		t.Errorf("after three errors in a row: healthy %v, backoff until %d", s.healthy(), s.backoffUntil)
	}
}
