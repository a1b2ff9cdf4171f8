package control

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

// This file holds a reference implementation of all that a Balancer does with its servers. It scans every server each
// time. The Balancer must make the same decisions.

func referenceUpdateEndpoints(b *Balancer, now Micros, kind UpdateKind, endpoints []Endpoint) {
	if kind == FailedUpdate {
		b.subscribed = false
		return
	}
	referenceRecordCapacity(b, now)
	for s := range b.servers.all {
		s.listed = s.listed && kind == IncrementalUpdate
	}
	for _, ep := range endpoints {
		s := b.servers.find(ep.Server)
		known := s != nil
		if !known {
			s = &server{Endpoint: Endpoint{Server: ep.Server}, lastAnswer: now, readyIndex: -1}
			b.servers.insert(s)
		}
		if known && ep.StartedAt > s.StartedAt {
			for _, f := range b.functionOrder {
				if inst := f.instanceOn(s, false); inst != nil && max(inst.lastUsed, inst.loadingSince) < ep.StartedAt {
					inst.replicas, inst.loading = 0, 0
				}
			}
			s.resetAfterRestart(now)
		}
		s.Endpoint, s.listed = ep, true
	}
	for s := range b.servers.all {
		if !s.listed {
			s.State = Removed
		}
		if s.State != Removed {
			s.lastListed = now
		}
	}
}

func referenceMaintain(b *Balancer, now Micros) Maintenance {
	m := Maintenance{Next: now + maintenanceInterval}
	if b.deployment.EndpointsNeedSubscription && !b.subscribed {
		b.subscribed, m.SubscribeEndpoints = true, true
	}
	referenceUpdateAnswerRate(b, now)
	referenceEjectSilentServers(b, now)
	referencePrune(b, now)
	b.pendingChecks = slices.DeleteFunc(b.pendingChecks, func(f *function) bool {
		b.checkReplicas(now, f)
		f.checkPending = f.held > 0
		return !f.checkPending
	})
	m.Cancellations, m.ServerEvents, b.cancellations, b.serverEvents = b.cancellations, b.serverEvents, nil, nil
	return m
}

func referenceUpdateAnswerRate(b *Balancer, now Micros) {
	const window = 10_000_000
	referenceRecordCapacity(b, now)
	history := &b.capacityHistory
	for span := Micros(0); ; {
		if span, _ = history.totals(); span <= window {
			break
		}
		oldest := &history.periods[0]
		if oldest.From += min(span-window, oldest.To-oldest.From); oldest.From == oldest.To {
			history.periods = slices.Delete(history.periods, 0, 1)
		}
	}
	if len(history.periods) > 0 {
		b.answers = dropBefore(b.answers, history.periods[0].From)
		span, serverTime := Micros(0), 0.0
		for _, period := range history.periods {
			span += period.To - period.From
			serverTime += period.Capacity * float64(period.To-period.From)
		}
		if span < window/10 {
			serverTime *= window / 10 / float64(span)
		}
		if mean := referenceMeanWeight(b); mean > 0 {
			history.meanWeight = mean
		}
		b.answerRate = float64(len(b.answers)) * 1e6 / serverTime * history.meanWeight
	}
	b.observationTTL = Micros(min(8e6, max(rareAnswerInterval, 1e6/max(0.01, b.answerRate))))
}

// referenceRecordCapacity does the same as recordCapacity.
func referenceRecordCapacity(b *Balancer, now Micros) {
	history := &b.capacityHistory
	from, servers := history.asOf, 0
	for range b.servers.all {
		servers++
	}
	mean := referenceMeanWeight(b)
	switch {
	case mean == 0:
		if from > 0 {
			history.asOf = max(from, now)
		}
		return
	case from == 0:
		if from = max(b.startedAt, now-10_000_000); now > from {
			history.add(CapacityPeriod{from, now, mean * float64(servers)})
		}
	case now > from:
		history.add(CapacityPeriod{from, now, max(mean, referenceTotalCapacity(b, now))})
	}
	history.asOf = max(history.asOf, now)
}

// referenceMeanWeight does the same as meanWeight by a scan of all servers.
func referenceMeanWeight(b *Balancer) float64 {
	sum, ready := milliWeight(0), 0
	for s := range b.servers.all {
		if s.State == Ready {
			ready++
			sum += milliWeightOf(s)
		}
	}
	if ready == 0 {
		return 0
	}
	return float64(sum) / 1000 / float64(ready)
}

// referenceTotalCapacity does the same as totalCapacity by a scan of all servers. It sums ages as integers, too, for the
// same rounding.
func referenceTotalCapacity(b *Balancer, now Micros) float64 {
	var full, starting milliWeight
	var age weightTime
	want := 0.0
	for s := range b.servers.all {
		if s.State != Ready {
			continue
		}
		want += b.capacity(now, s) * float64(milliWeightOf(s)) / 1000
		if s.StartedAt > 0 && now-s.StartedAt < b.deployment.SlowStartDuration {
			starting += milliWeightOf(s)
			age += milliWeightOf(s).times(max(0, now-s.StartedAt))
		} else {
			full += milliWeightOf(s)
		}
	}
	sum := float64(full)
	if starting > 0 {
		initial := b.deployment.SlowStartInitial
		sum += initial*float64(starting) + (1-initial)*float64(age)/float64(b.deployment.SlowStartDuration)
	}
	if sum /= 1000; math.Abs(sum-want) > 1e-9*want {
		panic(fmt.Sprintf("capacity %v, sum over all servers %v", sum, want))
	}
	return sum
}

func referenceEjectSilentServers(b *Balancer, now Micros) {
	limit := 4 * quantile(b.latencies.since(0), 0.9)
	if limit == 0 {
		return
	}
	var silent []*server
	busy := 0
	for s := range b.servers.all {
		if len(s.inFlight) == 0 {
			continue
		}
		busy++
		for _, a := range s.inFlight {
			allowed := limit
			if !a.toLoaded && !s.ejected {
				allowed += 3 * b.loadTime(a.request)
			}
			if now-max(a.sentAt, s.lastAnswer) > allowed {
				silent = append(silent, s)
				break
			}
		}
	}
	if len(silent)*2 > max(2, busy) {
		return
	}
	for _, s := range silent {
		b.eject(now, s, AnswersOverdue)
		for _, a := range s.inFlight {
			b.cancelAttempt(a.request, a.attempt)
		}
	}
}

func referencePrune(b *Balancer, now Micros) {
	const maxFunctions, batch, retention = 1 << 14, 1 << 11, 600_000_000
	if len(b.functionOrder) > maxFunctions {
		from := b.pruneCursor % len(b.functionOrder)
		to := min(len(b.functionOrder), from+batch)
		kept := slices.DeleteFunc(b.functionOrder[from:to:to], func(f *function) bool {
			forget := b.idle(now, f)
			if forget {
				delete(b.functions, f.id)
			}
			return forget
		})
		reachedEnd := to == len(b.functionOrder)
		b.functionOrder = slices.Delete(b.functionOrder, from+len(kept), to)
		if b.pruneCursor = from + len(kept); reachedEnd {
			b.pruneCursor = 0
		}
	}
	for _, s := range slices.Collect(b.servers.all) {
		if s.State != Removed || len(s.inFlight) > 0 || now < s.lastListed+retention {
			continue
		}
		for _, f := range b.functionOrder {
			f.instances = slices.DeleteFunc(f.instances, func(inst *instance) bool { return inst.server == s })
		}
		b.servers.remove(s.Server)
	}
}

func referenceLoadTarget(b *Balancer, now Micros, f *function, req *Request, purpose loadPurpose) *server {
	acceptsLoads := func(s *server) bool {
		return now >= s.loadBackoffUntil && s.pendingLoads() < 8 && !(purpose == additionalReplica && s.freeShare() < 0.75)
	}
	if !slices.ContainsFunc(slices.Collect(b.servers.all), func(s *server) bool { return acceptsLoads(s) && b.usable(now, s, req) }) {
		return nil
	}
	var cs []candidate
	for s := range b.servers.all {
		if !b.usable(now, s, req) {
			continue
		}
		weight := referenceWeight(b, now, s)
		cs = append(cs, candidate{s, -math.Log(uniform(uint64(f.id), uint64(s.Server))) / weight, weight})
	}
	byKey := func(a, b candidate) int { return cmp.Compare(a.key, b.key) }
	slices.SortFunc(cs, byKey)
	share := float64(f.recentRequests-1) / float64(max(32, len(b.recentFunctions)))
	homes := cs[:min(len(cs), max(1, int(math.Ceil(2*share*float64(len(cs))))))]
	for i, c := range homes {
		homes[i].key = -math.Log(uniform(hash(uint64(f.id), uint64(b.deployment.RouterIndex)+1), uint64(c.server.Server))) / c.weight
	}
	slices.SortFunc(homes, byKey)
	var best *server
	fewest := math.MaxInt
	eligible := len(cs)
	if b.deployment.Routers > 1 {
		eligible = min(eligible, 2)
	}
	for _, c := range cs[:eligible] {
		s, replicas := c.server, 0
		if !acceptsLoads(s) {
			continue
		}
		if inst := f.instanceOn(s, false); inst != nil {
			replicas = inst.replicas + inst.loading
		}
		if replicas < fewest {
			best, fewest = s, replicas
		}
	}
	return best
}

func referenceWeight(b *Balancer, now Micros, s *server) float64 {
	weight := max(0.1, s.Weight) * b.capacity(now, s)
	if b.observationTTL <= rareAnswerInterval && b.deployment.Routers == 1 {
		free := max(0.05, min(1-s.report.Utilization, s.freeShare()))
		weight *= free * free / (1 + max(0, s.report.PendingLoads))
	} else if s.freeShare() < 0.25 || b.overloaded(now, s) {
		weight *= 0.01
	}
	return max(0.001, weight)
}

// referenceSim drives a balancer through random events: servers join, drain, are removed, return and restart, requests
// arrive and are answered.
type referenceSim struct {
	t                 *testing.T
	rng               *rand.Rand
	now               Micros
	balancer          *Balancer
	ids               []ServerID // of all servers that were ever listed
	requests          map[RequestID]*Request
	inFlight          []RequestID // with one attempt in flight each
	lastID            RequestID
	comparisons       int            // comparisons made so far
	comparisonsByCase map[string]int // number of compared choices of a server, by case
}

func newReferenceSim(t *testing.T, seed uint64, servers int) *referenceSim {
	sim := &referenceSim{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: testNow,
		requests: map[RequestID]*Request{}, comparisonsByCase: map[string]int{}}
	config := testDeployment()
	config.Routers = []int{1, 3, 300, 900}[seed%4]
	config.RouterIndex, config.Zone, config.EndpointsNeedSubscription = sim.rng.IntN(config.Routers), 1, true
	if seed%8 >= 6 {
		config.LoadsOnMiss, config.LoadRateWindow, config.LoadRateBase, config.LoadRatePerRequest = false, 5*second, 100, 1
	}
	config.Classes = []Class{{LatencyObjective: second, MaxDeadline: 8 * second}, {LatencyObjective: second / 2, MaxDeadline: 4 * second, Idempotency: IdempotentByKey,
		DedupScope: OneZone, DedupWindow: 5 * second}, {LatencyObjective: second, MaxDeadline: 8 * second, Idempotency: NonIdempotent}}
	sim.balancer = New(0, seed, config)
	var list []Endpoint
	for range servers {
		list = append(list, sim.randomEndpoint(ServerID(sim.rng.Uint64())))
	}
	sim.updateEndpoints(FullUpdate, list)
	return sim
}

func (sim *referenceSim) withProbability(p float64) bool { return sim.rng.Float64() < p }

func (sim *referenceSim) randomEndpoint(id ServerID) Endpoint {
	if !slices.Contains(sim.ids, id) {
		sim.ids = append(sim.ids, id)
	}
	ep := Endpoint{Server: id, State: Ready, Zone: ZoneID(sim.rng.IntN(3)),
		Weight: []float64{1, 1, 1, 0.5, 2, 0.02, sim.rng.Float64() * 3}[sim.rng.IntN(7)]}
	switch {
	case sim.withProbability(0.1):
		ep.State = ServerState(sim.rng.IntN(2))
	case sim.withProbability(0.3):
		ep.StartedAt = sim.now - Micros(sim.rng.IntN(15*second)) + second
	}
	return ep
}

// clone returns the balancer restored from a snapshot, with requests of its own.
func (sim *referenceSim) clone() (*Balancer, map[RequestID]*Request) {
	requests := map[RequestID]*Request{}
	for id, req := range sim.requests {
		copied := req.Snapshot().Restore()
		requests[id] = &copied
	}
	b, err := Restore(sim.balancer.Snapshot(), requests)
	if err != nil {
		sim.t.Fatal(err)
	}
	return b, requests
}

// checkEqual compares the balancer with a clone to which the reference implementation was applied. Sends outside the
// overload window are ignored, because the check of the slow-start budget drops them.
func (sim *referenceSim) checkEqual(reference *Balancer, what string) {
	sim.t.Helper()
	if sim.comparisons++; sim.comparisons%4 == 0 {
		restored, _ := sim.clone()
		sim.checkIndex(restored)
	}
	got, want := sim.balancer.Snapshot(), reference.Snapshot()
	for i := range min(len(got.Servers), len(want.Servers)) {
		want.Servers[i].LastListed = reference.servers.at(i).lastListed
		for _, s := range []*ServerSnapshot{&got.Servers[i], &want.Servers[i]} {
			s.SlowStartSends = slices.Clone(dropBefore(s.SlowStartSends, sim.now-sim.balancer.deployment.OverloadWindow))
		}
	}
	if !reflect.DeepEqual(got, want) {
		sim.t.Fatalf("%s at %d:\n got %s\nwant %s", what, sim.now, firstDifference(got, want), firstDifference(want, got))
	}
}

// checkUsableCount compares usableCount with a scan of all servers.
func (sim *referenceSim) checkUsableCount(req *Request) {
	sim.t.Helper()
	want := 0
	for s := range sim.balancer.servers.all {
		if sim.balancer.usableReadOnly(sim.now, s, req) {
			want++
		}
	}
	if got := sim.balancer.usableCount(sim.now, req); got != want && !sim.balancer.restrictedToGroup(req) {
		sim.t.Fatalf("%d servers can be used at %d, counted %d", want, sim.now, got)
	}
}

// checkIndex compares the index with the one that a restored balancer builds.
func (sim *referenceSim) checkIndex(restored *Balancer) {
	sim.t.Helper()
	ids := func(servers []*server) []ServerID {
		return mapSlice(servers, func(s *server) ServerID { return s.Server })
	}
	got, want := &sim.balancer.index, &restored.index
	all := slices.Collect(sim.balancer.servers.all)
	for what, pair := range map[string][2][]ServerID{"all": {ids(all), ids(slices.Collect(restored.servers.all))},
		"removed": {ids(got.removed), ids(want.removed)}, "busy": {ids(got.busy), ids(want.busy)}} {
		if !slices.Equal(pair[0], pair[1]) {
			sim.t.Fatalf("%s at %d: got %x, want %x", what, sim.now, pair[0], pair[1])
		}
	}
	checkServerList(sim.t, &sim.balancer.servers, slices.Sorted(slices.Values(ids(all))))
	var ready []ServerID
	for i, s := range got.ready {
		if s.readyIndex != i || got.readyIDs[i] != s.Server {
			sim.t.Fatalf("server %x at %d is at %d of the ready ones, not at %d: %x", s.Server, sim.now, i, s.readyIndex, got.readyIDs)
		}
		ready = append(ready, s.Server)
	}
	slices.Sort(ready)
	if want := ids(slices.DeleteFunc(slices.Clone(all), func(s *server) bool { return s.State != Ready })); !slices.Equal(ready, want) {
		sim.t.Fatalf("ready at %d: got %x, want %x", sim.now, ready, want)
	}
	for i, s := range all {
		if s.weight != restored.servers.at(i).weight || !slices.EqualFunc(s.functions, restored.servers.at(i).functions, func(a, b *function) bool {
			return a.id == b.id && a == sim.balancer.functions[a.id]
		}) {
			sim.t.Fatalf("server %x at %d: got %+v, want %+v", s.Server, sim.now, s, restored.servers.at(i))
		}
	}
	for _, s := range append(slices.Clone(got.impaired), got.slowStart.servers...) {
		if sim.balancer.servers.find(s.Server) != s {
			sim.t.Fatalf("server %x at %d is in the index, but not in the server list", s.Server, sim.now)
		}
	}
}

// firstDifference describes the first server or field in which two snapshots differ.
func firstDifference(a, b *Snapshot) string {
	for i := range a.Servers {
		if i >= len(b.Servers) || !reflect.DeepEqual(a.Servers[i], b.Servers[i]) {
			return fmt.Sprintf("server %d of %d: %+v", i, len(a.Servers), a.Servers[i])
		}
	}
	for i := range a.Functions {
		if i >= len(b.Functions) || !reflect.DeepEqual(a.Functions[i], b.Functions[i]) {
			return fmt.Sprintf("function %d of %d: %+v", i, len(a.Functions), a.Functions[i])
		}
	}
	return fmt.Sprintf("random state %d, answer rate %v, observation TTL %d, server events %q, cancellations %v", a.Random, a.AnswerRate, a.ObservationTTL, a.ServerEvents, a.Cancellations)
}

func (sim *referenceSim) updateEndpoints(kind UpdateKind, list []Endpoint) {
	reference, _ := sim.clone()
	referenceUpdateEndpoints(reference, sim.now, kind, list)
	sim.balancer.UpdateEndpoints(sim.now, kind, list)
	sim.checkEqual(reference, fmt.Sprintf("endpoint update of kind %d: %+v", kind, list))
}

func (sim *referenceSim) maintain() {
	reference, _ := sim.clone()
	want, got := referenceMaintain(reference, sim.now), sim.balancer.Maintain(sim.now)
	if !reflect.DeepEqual(got, want) {
		sim.t.Fatalf("maintenance at %d: got %+v, want %+v", sim.now, got, want)
	}
	sim.checkEqual(reference, "maintenance")
}

// routeAndCompare compares the server chosen for a load with the reference implementation's choice, then routes the
// request.
func (sim *referenceSim) routeAndCompare(req *Request) {
	f := sim.balancer.function(req)
	reference, requests := sim.clone()
	before := sim.balancer.Snapshot()
	for _, purpose := range []loadPurpose{firstReplica, additionalReplica} {
		want := referenceLoadTarget(reference, sim.now, reference.functions[req.Function], requests[req.ID], purpose)
		got := sim.balancer.loadTarget(sim.now, f, req, purpose)
		if (got == nil) != (want == nil) || got != nil && got.Server != want.Server {
			sim.t.Fatalf("a load for function %x at %d, purpose %d: got %+v, want %+v", f.id, sim.now, purpose, got, want)
		}
		sim.comparisonsByCase[fmt.Sprintf("several routers %t, busy function %t, found %t", sim.balancer.deployment.Routers > 1, f.recentRequests > 1, got != nil)]++
	}
	sim.checkUsableCount(req)
	sim.checkImpairedMarks(req)
	if sim.balancer.deployment.Routers > 1 {
		sim.checkHomes(f, req)
	}
	sim.checkEqual(reference, "choice of a server for a load")
	if after := sim.balancer.Snapshot(); !reflect.DeepEqual(before, after) {
		sim.t.Fatalf("choosing a server for a load at %d changed the state from\n%s to\n%s", sim.now, firstDifference(before, after), firstDifference(after, before))
	}
	sim.applyDecision(req, sim.balancer.Route(sim.now, req))
}

func (sim *referenceSim) applyDecision(req *Request, d Decision) {
	switch d.Action {
	case Forward:
		sim.inFlight = append(sim.inFlight, req.ID)
	case Reject, Fail:
		sim.balancer.Cancel(sim.now, req)
		delete(sim.requests, req.ID)
	}
	for _, command := range d.LoadCommands {
		result := []Result{Succeeded, Overloaded, Failed, ConnectFailed}[sim.rng.IntN(4)]
		sim.balancer.HandleLoadResult(sim.now, command.Server, command.Function, result, second, command.Replicas)
	}
}

func (sim *referenceSim) addRequest() {
	sim.lastID++
	req := &Request{ID: sim.lastID, Class: ClassID(sim.rng.IntN(3)), Lanes: 1 + sim.rng.IntN(4),
		ArrivedAt: sim.now, Deadline: sim.now + Micros(sim.rng.IntN(8*second)), IsRetry: sim.withProbability(0.1)}
	switch sim.rng.IntN(3) { // one busy function, some in regular use, and many rare ones
	case 0:
		req.Function = 1
	case 1:
		req.Function = FunctionID(2 + sim.rng.IntN(6))
	case 2:
		req.Function = FunctionID(10 + sim.rng.IntN(60))
	}
	sim.requests[req.ID] = req
	sim.routeAndCompare(req)
}

// completeAttempt ends a random attempt in flight with a random outcome.
func (sim *referenceSim) completeAttempt() {
	if len(sim.inFlight) == 0 {
		return
	}
	i := sim.rng.IntN(len(sim.inFlight))
	req := sim.requests[sim.inFlight[i]]
	sim.inFlight = slices.Delete(sim.inFlight, i, i+1)
	last := len(req.Attempts) - 1
	o := Outcome{Attempt: AttemptID(last), Server: req.Attempts[last].Server, Duration: Micros(sim.rng.IntN(second)),
		Result: []Result{Succeeded, Succeeded, Succeeded, Succeeded, Failed,
			Overloaded, TimedOut, ConnectFailed, ConnectionReset, NotLoaded}[sim.rng.IntN(10)]}
	if o.Result == Succeeded {
		o.RequestDone, o.CacheStatus = true, CacheStatus(sim.rng.IntN(3))
		o.Report = &LoadReport{Utilization: sim.rng.Float64() * 1.2, PendingLoads: float64(sim.rng.IntN(7)) - 1}
	}
	if d := sim.balancer.HandleOutcome(sim.now, req, o); o.RequestDone {
		delete(sim.requests, req.ID)
	} else {
		sim.applyDecision(req, d)
	}
}

// updateRandomEndpoints sends an endpoint update for one to three servers, known or new.
func (sim *referenceSim) updateRandomEndpoints() {
	var list []Endpoint
	for range 1 + sim.rng.IntN(3) {
		id := ServerID(sim.rng.Uint64())
		if sim.withProbability(0.8) {
			id = sim.ids[sim.rng.IntN(len(sim.ids))]
		}
		list = append(list, sim.randomEndpoint(id))
	}
	sim.updateEndpoints(IncrementalUpdate, list)
}

// disturbRandomServer changes the health or load of a random server.
func (sim *referenceSim) disturbRandomServer() {
	s := sim.balancer.servers.at(sim.rng.IntN(sim.balancer.servers.len))
	switch sim.rng.IntN(5) {
	case 0:
		s.backoffUntil = sim.now + Micros(sim.rng.IntN(2*second))
	case 1:
		s.ejected, s.probeAt = true, sim.now+Micros(sim.rng.IntN(2*second))
	case 2:
		s.report, s.reportedAt = LoadReport{Utilization: 0.95, PendingLoads: 3}, sim.now
	case 3:
		s.queueing.add(sim.now, 900)
	case 4:
		s.concurrencyLimit = float64(s.running) + 0.1
	}
	sim.balancer.index.markImpaired(s)
}

func (sim *referenceSim) step() {
	sim.now += Micros(sim.rng.IntN(100_000))
	switch p := sim.rng.Float64(); {
	case p < 0.40:
		sim.addRequest()
	case p < 0.65:
		sim.completeAttempt()
	case p < 0.75:
		sim.updateRandomEndpoints()
	case p < 0.88:
		sim.disturbRandomServer()
	case p < 0.98:
		sim.maintain()
	case p < 0.985:
		var list []Endpoint
		for _, id := range sim.ids {
			if sim.withProbability(0.9) {
				list = append(list, sim.randomEndpoint(id))
			}
		}
		sim.updateEndpoints([]UpdateKind{CachedUpdate, FullUpdate}[sim.rng.IntN(2)], list)
	case p < 0.99:
		sim.updateEndpoints(FailedUpdate, nil)
	case p < 0.995:
		sim.balancer, sim.requests = sim.clone() // a restart from a snapshot
	case p < 0.998:
		sim.now += Micros([]int{5, 20, 400, 700}[sim.rng.IntN(4)]) * second
	default: // to the exact microsecond at which a removed server is dropped
		for s := range sim.balancer.servers.all {
			if s.State == Removed {
				sim.now = max(sim.now, s.lastListed+600*second)
				break
			}
		}
		sim.maintain()
	}
}

// With the index, each choice of a server for a load, each endpoint update and each maintenance gives the same result
// as the reference implementation, bit for bit, and uses as many random numbers.
func TestMatchesReference(t *testing.T) {
	comparisons := map[string]int{}
	for seed := range uint64(16) {
		sim := newReferenceSim(t, seed, []int{1, 5, 40, 200}[seed/4%4])
		for range 200 {
			sim.step()
		}
		for name, n := range sim.comparisonsByCase {
			comparisons[name] += n
		}
	}
	for _, severalRouters := range []bool{false, true} {
		for _, busy := range []bool{false, true} {
			if name := fmt.Sprintf("several routers %t, busy function %t, found %t", severalRouters, busy, true); comparisons[name] < 100 {
				t.Errorf("%s: compared only %d times", name, comparisons[name])
			}
		}
	}
}

// impairServers gives each server, with the given probability, a state that makes it unusable or moves it to the end of
// the order; all others become healthy and idle.
func (sim *referenceSim) impairServers(share float64) {
	b, kind := sim.balancer, sim.rng.IntN(12) // one kind of state for all servers; six or more: a random one for each
	for s := range b.servers.all {
		s.backoffUntil, s.ejected, s.loadBackoffUntil, s.report, s.reportedAt, s.concurrencyLimit, s.running = 0, false, 0, LoadReport{}, 0, 0, 0
		if !sim.withProbability(share) {
			continue
		}
		chosen := kind
		if kind >= 6 {
			chosen = sim.rng.IntN(6)
		}
		switch chosen {
		case 0:
			s.backoffUntil = sim.now + 1
		case 1:
			s.ejected, s.probeAt = true, sim.now+1
		case 2:
			s.report, s.reportedAt = LoadReport{Utilization: 0.95, PendingLoads: 3}, sim.now
		case 3:
			s.concurrencyLimit, s.running = 4, 4
		case 4:
			s.loadBackoffUntil = sim.now + 1
		case 5:
			s.slowStartSends = []Micros{sim.now, sim.now, sim.now, sim.now, sim.now, sim.now}
		}
		b.index.markImpaired(s)
	}
}

// checkNearestHomes compares the bounded search of nearestHomes with a scan of all servers.
func (sim *referenceSim) checkNearestHomes(f *function, req *Request) {
	sim.t.Helper()
	got, homes := sim.balancer.nearestHomes(sim.now, f, req)
	got = slices.Clone(got)
	all := sim.balancer.allCandidates(sim.now, f, req)
	want := sim.balancer.homeCount(f, len(all))
	need := max(want, min(2, len(all)))
	if homes != want || len(got) < need {
		sim.t.Fatalf("%d homes of %d servers at %d, want %d of %d", homes, len(got), sim.now, want, len(all))
	}
	byKey := func(a, b candidate) int { return cmp.Compare(a.key, b.key) }
	slices.SortFunc(got, byKey)
	slices.SortFunc(all, byKey)
	if !slices.Equal(got[:need], all[:need]) {
		sim.t.Fatalf("the first %d of %d servers at %d: got %+v, want %+v", need, len(all), sim.now, got[:need], all[:need])
	}
}

// checkHomes compares the first two homes by the function's home set with those by a scan of all servers, and the set
// itself with the static keys of all servers. It reports whether the function has several homes and the set determined
// the first two.
func (sim *referenceSim) checkHomes(f *function, req *Request) bool {
	sim.t.Helper()
	all := slices.Clone(sim.balancer.allCandidates(sim.now, f, req))
	homes := sim.balancer.homeCount(f, len(all))
	if homes < 2 {
		return false
	}
	got, sufficient := sim.balancer.firstTwoHomes(sim.now, f, req)
	byKey := func(a, b candidate) int { return cmp.Compare(a.key, b.key) }
	slices.SortFunc(all, byKey)
	want := all[:homes]
	for i, c := range want {
		own := hash(uint64(f.id), uint64(sim.balancer.deployment.RouterIndex)+1)
		want[i].key = -math.Log(uniform(own, uint64(c.server.Server))) / c.weight
	}
	slices.SortFunc(want, byKey)
	if sufficient && !slices.Equal(got, want[:2]) {
		sim.t.Fatalf("function %x at %d: the first two of %d homes: got %+v, want %+v", f.id, sim.now, homes, got, want[:2])
	}
	if f.homes.appliedChanges == sim.balancer.index.changeCount() {
		sim.checkHomeSet(f)
	}
	return sufficient
}

// checkHomeSet compares a function's home set with the static keys of all ready servers.
func (sim *referenceSim) checkHomeSet(f *function) {
	sim.t.Helper()
	var keys []float64
	var entries []homeEntry
	for s := range sim.balancer.servers.all {
		if s.State != Ready {
			continue
		}
		e := homeEntry{s.Server, rankKey(uint64(f.id), s.Server, max(0.1, s.Weight)),
			rankKey(hash(uint64(f.id), uint64(sim.balancer.deployment.RouterIndex)+1), s.Server, max(0.1, s.Weight))}
		if e.key < f.homes.bound {
			keys, entries = append(keys, e.key), append(entries, e)
		}
	}
	slices.Sort(keys)
	slices.SortFunc(entries, func(a, b homeEntry) int { return cmp.Compare(a.ownKey, b.ownKey) })
	if !slices.Equal(f.homes.keys, keys) || !slices.Equal(f.homes.entries, entries) {
		sim.t.Fatalf("function %x at %d: got home set %+v, want %v and %+v", f.id, sim.now, f.homes, keys, entries)
	}
}

// checkImpairedMarks checks that each ready server that is unusable or has a lowered weight is marked as impaired or in
// slow start.
func (sim *referenceSim) checkImpairedMarks(req *Request) {
	sim.t.Helper()
	if sim.balancer.restrictedToGroup(req) || sim.balancer.deployment.Routers == 1 {
		return
	}
	marked := slices.Collect(sim.balancer.index.impairedOrInSlowStart)
	for s := range sim.balancer.servers.all {
		if s.State == Ready && !slices.Contains(marked, s) &&
			(!sim.balancer.usableReadOnly(sim.now, s, req) || sim.balancer.weight(sim.now, s) != s.weight) {
			sim.t.Fatalf("server %x at %d is not marked: %+v", s.Server, sim.now, s)
		}
	}
	ids := mapSlice(marked, func(s *server) ServerID { return s.Server })
	slices.Sort(ids)
	if len(slices.Compact(ids)) != len(marked) {
		sim.t.Fatalf("servers at %d are marked twice", sim.now)
	}
}

// A restarted server that still runs attempts from before the restart is crowded once it has a concurrency limit again.
func TestNewLimitMarksCrowdedServer(t *testing.T) {
	b := newTestBalancer(testDeployment(), 1)
	inst := addReplica(b, 1, 0)
	b.index.dropImpaired(func(*server) bool { return true })
	inst.server.running = 50
	b.UpdateEndpoints(testNow, IncrementalUpdate, []Endpoint{{Server: 1, State: Ready, Weight: 1, StartedAt: 1}})
	if b.slots(testNow, inst, b.functions[7], 1); !inst.server.crowded() || !inst.server.impaired {
		t.Errorf("a server with a limit of %v and %d attempts: crowded %t, marked %t", inst.server.concurrencyLimit,
			inst.server.running, inst.server.crowded(), inst.server.impaired)
	}
}

// checkRanking compares a function's ranking with the order of all ready servers.
func (sim *referenceSim) checkRanking(f *function) {
	sim.t.Helper()
	order := []rankingEntry{{key: math.Inf(1)}}
	for s := range sim.balancer.servers.all {
		if s.State == Ready {
			order = append(order, rankingEntry{s.Server, rankKey(uint64(f.id), s.Server, max(0.1, s.Weight))})
		}
	}
	slices.SortFunc(order, func(a, b rankingEntry) int { return cmp.Compare(a.key, b.key) })
	if rk := sim.balancer.currentRanking(f); !slices.Equal(rk.entries, order[:len(rk.entries)]) || rk.bound > order[len(rk.entries)].key {
		sim.t.Fatalf("function %x at %d: ranked %+v, want the first of %+v", f.id, sim.now, rk, order[:min(len(order), rankingLength+1)])
	}
}

// rankingCounts counts decisions by whether the ranking, or for a busy function the home set, was sufficient.
type rankingCounts struct{ sufficient, insufficient, busy, homesSufficient, homesInsufficient int }

// compareLoadTarget compares the server for a load, for a random request, with the reference implementation's choice.
func (sim *referenceSim) compareLoadTarget(seed uint64, round int, counts *rankingCounts) {
	b := sim.balancer
	req := &Request{Function: FunctionID(sim.rng.IntN(8 + round%40)), ArrivedAt: sim.now, Deadline: sim.now + second}
	if sim.withProbability(0.1) { // a request that may only be retried in its zone
		req.Class, req.Attempts = 1, []Attempt{{Zone: 1, MayHaveRun: true, Done: true, SentAt: sim.now}}
	}
	f := b.function(req)
	f.recentRequests, b.recentFunctions = []int{1, 1, 1, 2, 8, 128}[sim.rng.IntN(6)], make([]*function, 128)
	sim.checkUsableCount(req)
	sim.checkImpairedMarks(req)
	if sim.withProbability(0.3) {
		sim.checkHomes(f, req)
		sim.checkNearestHomes(f, req)
		sim.checkRanking(f)
	}
	purpose := firstReplica
	if sim.withProbability(0.2) {
		purpose = additionalReplica
	}
	got, want := b.loadTarget(sim.now, f, req, purpose), referenceLoadTarget(b, sim.now, f, req, purpose)
	if got != want {
		sim.t.Fatalf("seed %d, round %d, function %d of %d servers: got %+v, want %+v",
			seed, round, f.id, b.servers.len, got, want)
	}
	if f.recentRequests > 1 {
		counts.busy++
		if sim.checkHomes(f, req) {
			counts.homesSufficient++
		} else {
			counts.homesInsufficient++
		}
	} else if firstTwo, sufficient := b.firstTwoByRanking(sim.now, f, req); sufficient && len(firstTwo) > 0 {
		counts.sufficient++
	} else {
		counts.insufficient++
	}
	if got != nil {
		f.instanceOn(got, true).replicas++ // the next load goes to another of the first candidates
	}
}

// A load goes where the reference implementation sends it, whether or not the ranking is sufficient: in fleets of any
// size, with any part of them unusable, overloaded or in slow start, and with few or many endpoint updates between two
// decisions.
func TestLoadTargetMatchesReference(t *testing.T) {
	var counts rankingCounts
	for seed := range uint64(28) {
		sim := newReferenceSim(t, seed, 0)
		b := sim.balancer
		if b.deployment.Routers < 2 {
			b.deployment.Routers = 300
		}
		b.deployment.SlowStartInitial = []float64{0.25, 0.01, 1, 3}[seed/4%4]
		n := []int{2, rankingLength, rankingLength + 1, rankingLength + 2, 40, 300, 1500}[seed%7]
		maxChanges, rounds, decisions := []int{2, 30, 300}, 25, 8 // changes per round
		if seed%4 == 3 {
			maxChanges, rounds, decisions = []int{1}, 200_000/(n+100), 1 // one change per round, more in all than the index keeps
		}
		weights := []float64{1, 1, 1, 1, 2, 0.05, 10}[:1+sim.rng.IntN(7)]
		newEndpoint := func(id ServerID) Endpoint {
			ep := Endpoint{Server: id, State: Ready, Zone: ZoneID(sim.rng.IntN(3)), Weight: weights[sim.rng.IntN(len(weights))]}
			if sim.withProbability(0.3) {
				ep.StartedAt = sim.now - Micros(sim.rng.IntN(12*second))
			}
			return ep
		}
		var list []Endpoint
		for range n {
			list = append(list, newEndpoint(ServerID(sim.rng.Uint64())))
		}
		b.UpdateEndpoints(sim.now, FullUpdate, list)
		for round := range rounds {
			sim.now += Micros(sim.rng.IntN(second))
			list = list[:0]
			for range min(n, 1+sim.rng.IntN(maxChanges[sim.rng.IntN(len(maxChanges))])) {
				ep := b.servers.at(sim.rng.IntN(b.servers.len)).Endpoint
				switch sim.rng.IntN(4) {
				case 0:
					ep.State = Draining
				case 1:
					ep = newEndpoint(ep.Server)
				case 2:
					ep.State = Removed
				case 3:
					ep = newEndpoint(ServerID(sim.rng.Uint64()))
				}
				list = append(list, ep)
			}
			b.UpdateEndpoints(sim.now, IncrementalUpdate, list)
			b.answerRate, b.observationTTL = sim.rng.Float64()*3, Micros(1+sim.rng.IntN(8))*second
			sim.impairServers([]float64{0, 0.5, 0.9, 0.99}[sim.rng.IntN(4)])
			for range decisions {
				sim.compareLoadTarget(seed, round, &counts)
			}
		}
	}
	if counts.sufficient < 2000 || counts.insufficient < 500 || counts.busy < 2000 || counts.homesSufficient < 2000 || counts.homesInsufficient < 500 {
		t.Errorf("too few comparisons of some kind: %+v", counts)
	}
}

// A ranking holds the lowest keys in order, and its bound is the next lowest key.
func TestRankingKeepsLowestKeys(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for n := range 3 * rankingLength {
		for range 40 {
			keys, rk := make([]float64, n), ranking{bound: math.Inf(1)}
			for i := range keys {
				keys[i] = rng.Float64()
				rk.add(ServerID(i), keys[i])
			}
			sorted := append(slices.Sorted(slices.Values(keys)), math.Inf(1))
			for i, entry := range rk.entries {
				if entry.key != sorted[i] || entry.key != keys[entry.id] {
					t.Fatalf("%d keys: got %+v, want %v", n, rk.entries, sorted)
				}
			}
			if len(rk.entries) != min(n, rankingLength) || rk.bound != sorted[len(rk.entries)] {
				t.Fatalf("%d keys: got %d with bound %v of %v", n, len(rk.entries), rk.bound, sorted)
			}
		}
	}
}

// A server whose weight is NaN or infinite still gets loads.
func TestNonFiniteWeights(t *testing.T) {
	for _, weight := range []float64{math.NaN(), math.Inf(1), math.Inf(-1)} {
		config := testDeployment()
		config.Routers = 300
		b := New(0, 1, config)
		var list []Endpoint
		for id := range ServerID(3 * rankingLength) {
			list = append(list, Endpoint{Server: id, State: Ready, Weight: weight})
		}
		b.UpdateEndpoints(testNow, FullUpdate, list)
		for id := range RequestID(10) {
			req := newRequest(id)
			req.Function = FunctionID(id)
			if d := b.Route(testNow, req); d.Action != Forward {
				t.Errorf("weight %v: got %+v", weight, d)
			}
		}
	}
}

// A scan by hash finds every server within the distance, even one exactly at it.
func TestNextWithinSkipsNone(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	f := &function{}
	for range 1000 {
		var idx index
		f.id = FunctionID(rng.Uint64())
		for range 8 {
			idx.setReady(&server{Endpoint: Endpoint{Server: ServerID(rng.Uint64()), State: Ready}, readyIndex: -1})
		}
		for want, id := range idx.readyIDs {
			distance := ^hash(uint64(f.id), uint64(id))
			found := false
			for i := idx.nextWithin(0, f, distance); i < len(idx.ready) && !found; i = idx.nextWithin(i+1, f, distance) {
				found = i == want
			}
			if !found {
				t.Fatalf("function %x: server %x, %x below 2^64, is skipped", f.id, id, distance)
			}
		}
	}
}
