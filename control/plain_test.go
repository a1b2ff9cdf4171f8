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

// The reference implementation of all that a Balancer does with its servers: it scans every server each time. The
// Balancer must decide the same.

func referenceUpdateEndpoints(r *Balancer, now Micros, kind UpdateKind, list []Endpoint) {
	if kind == FailedUpdate {
		r.subscribed = false
		return
	}
	referenceRecordCapacity(r, now)
	for s := range r.servers.all {
		s.listed = s.listed && kind == IncrementalUpdate
	}
	for _, l := range list {
		s := r.servers.find(l.Server)
		known := s != nil
		if !known {
			s = &server{Endpoint: Endpoint{Server: l.Server}, lastAnswer: now, readyIndex: -1}
			r.servers.insert(s)
		}
		if known && l.StartedAt > s.StartedAt {
			for _, f := range r.functionOrder {
				if inst := f.instanceOn(s, false); inst != nil && max(inst.lastUsed, inst.loadingSince) < l.StartedAt {
					inst.replicas, inst.loading = 0, 0
				}
			}
			s.forgetIncarnation(now)
		}
		s.Endpoint, s.listed = l, true
	}
	for s := range r.servers.all {
		if !s.listed {
			s.State = Removed
		}
		if s.State != Removed {
			s.lastListed = now
		}
	}
}

func referenceMaintain(r *Balancer, now Micros) Maintenance {
	up := Maintenance{Next: now + maintenanceInterval}
	if r.deployment.EndpointsNeedSubscription && !r.subscribed {
		r.subscribed, up.SubscribeEndpoints = true, true
	}
	referenceUpdateAnswerRate(r, now)
	referenceEjectSilentServers(r, now)
	referencePrune(r, now)
	r.waiting = slices.DeleteFunc(r.waiting, func(f *function) bool {
		r.checkReplicas(now, f)
		f.waiting = f.held > 0
		return !f.waiting
	})
	up.Cancellations, up.ServerEvents, r.cancellations, r.serverEvents = r.cancellations, r.serverEvents, nil, nil
	return up
}

func referenceUpdateAnswerRate(r *Balancer, now Micros) {
	const over = 10_000_000
	referenceRecordCapacity(r, now)
	history := &r.capacityHistory
	for seen := Micros(0); ; {
		if seen, _ = history.totals(); seen <= over {
			break
		}
		oldest := &history.periods[0]
		if oldest.From += min(seen-over, oldest.To-oldest.From); oldest.From == oldest.To {
			history.periods = slices.Delete(history.periods, 0, 1)
		}
	}
	if len(history.periods) > 0 {
		r.answers = dropBefore(r.answers, history.periods[0].From)
		seen, capacity := Micros(0), 0.0
		for _, period := range history.periods {
			seen += period.To - period.From
			capacity += period.Capacity * float64(period.To-period.From)
		}
		if seen < over/10 {
			capacity *= over / 10 / float64(seen)
		}
		if mean := referenceMeanWeight(r); mean > 0 {
			history.meanWeight = mean
		}
		r.answerRate = float64(len(r.answers)) * 1e6 / capacity * history.meanWeight
	}
	r.freshFor = Micros(min(8e6, max(rareAnswers, 1e6/max(0.01, r.answerRate))))
}

// referenceRecordCapacity records the capacity of the ready servers up to now, as recordCapacity does.
func referenceRecordCapacity(r *Balancer, now Micros) {
	history := &r.capacityHistory
	from, servers := history.asOf, 0
	for range r.servers.all {
		servers++
	}
	mean := referenceMeanWeight(r)
	switch {
	case mean == 0:
		if from > 0 {
			history.asOf = max(from, now)
		}
		return
	case from == 0:
		if from = max(r.startedAt, now-10_000_000); now > from {
			history.add(CapacityPeriod{from, now, mean * float64(servers)})
		}
	case now > from:
		history.add(CapacityPeriod{from, now, max(mean, referenceTotalCapacity(r, now))})
	}
	history.asOf = max(history.asOf, now)
}

// referenceMeanWeight looks at each server.
func referenceMeanWeight(r *Balancer) float64 {
	sum, ready := milliWeight(0), 0
	for s := range r.servers.all {
		if s.State == Ready {
			ready++
			sum += weightOf(s)
		}
	}
	if ready == 0 {
		return 0
	}
	return float64(sum) / 1000 / float64(ready)
}

// referenceTotalCapacity looks at each server. It counts ages as integers, as totalCapacity does, for the same rounding.
func referenceTotalCapacity(r *Balancer, now Micros) float64 {
	var full, starting milliWeight
	var age weightTime
	oneByOne := 0.0
	for s := range r.servers.all {
		if s.State != Ready {
			continue
		}
		oneByOne += r.capacity(now, s) * float64(weightOf(s)) / 1000
		if s.StartedAt > 0 && now-s.StartedAt < r.deployment.SlowStartDuration {
			starting += weightOf(s)
			age += weightOf(s).times(max(0, now-s.StartedAt))
		} else {
			full += weightOf(s)
		}
	}
	sum := float64(full)
	if starting > 0 {
		initial := r.deployment.SlowStartInitial
		sum += initial*float64(starting) + (1-initial)*float64(age)/float64(r.deployment.SlowStartDuration)
	}
	if sum /= 1000; math.Abs(sum-oneByOne) > 1e-9*oneByOne {
		panic(fmt.Sprintf("capacity %v, one by one %v", sum, oneByOne))
	}
	return sum
}

func referenceEjectSilentServers(r *Balancer, now Micros) {
	limit := 4 * quantile(r.latencies.since(0), 0.9)
	if limit == 0 {
		return
	}
	var silent []*server
	busy := 0
	for s := range r.servers.all {
		if len(s.inFlight) == 0 {
			continue
		}
		busy++
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
	if len(silent)*2 > max(2, busy) {
		return
	}
	for _, s := range silent {
		r.eject(now, s, AnswersOverdue)
		for _, fl := range s.inFlight {
			r.cancelAttempt(fl.request, fl.attempt)
		}
	}
}

func referencePrune(r *Balancer, now Micros) {
	const many, batch, long = 1 << 14, 1 << 11, 600_000_000
	if len(r.functionOrder) > many {
		from := r.pruned % len(r.functionOrder)
		to := min(len(r.functionOrder), from+batch)
		kept := slices.DeleteFunc(r.functionOrder[from:to:to], func(f *function) bool {
			gone := r.idle(now, f)
			if gone {
				delete(r.functions, f.id)
			}
			return gone
		})
		r.functionOrder = slices.Delete(r.functionOrder, from+len(kept), to)
		r.pruned = from + len(kept)
	}
	for _, s := range slices.Collect(r.servers.all) {
		if s.State != Removed || len(s.inFlight) > 0 || now < s.lastListed+long {
			continue
		}
		for _, f := range r.functionOrder {
			f.instances = slices.DeleteFunc(f.instances, func(inst *instance) bool { return inst.server == s })
		}
		r.servers.remove(s.Server)
	}
}

func referenceLoadTarget(r *Balancer, now Micros, f *function, req *Request, purpose loadPurpose) *server {
	takes := func(s *server) bool {
		return now >= s.loadsAfter && s.pendingLoads() < 8 && !(purpose == additionalReplica && s.freeShare() < 0.75)
	}
	if !slices.ContainsFunc(slices.Collect(r.servers.all), func(s *server) bool { return takes(s) && r.usable(now, s, req) }) {
		return nil
	}
	var cs []candidate
	for s := range r.servers.all {
		if !r.usable(now, s, req) {
			continue
		}
		weight := referenceWeight(r, now, s)
		cs = append(cs, candidate{s, -math.Log(uniform(uint64(f.id), uint64(s.Server))) / weight, weight})
	}
	byKey := func(a, b candidate) int { return cmp.Compare(a.key, b.key) }
	slices.SortFunc(cs, byKey)
	part := float64(f.recent-1) / float64(max(32, len(r.recent)))
	homes := cs[:min(len(cs), max(1, int(math.Ceil(2*part*float64(len(cs))))))]
	for i, c := range homes {
		homes[i].key = -math.Log(uniform(hash(uint64(f.id), uint64(r.deployment.RouterIndex)+1), uint64(c.server.Server))) / c.weight
	}
	slices.SortFunc(homes, byKey)
	var best *server
	fewest := math.MaxInt
	near := len(cs)
	if r.deployment.Routers > 1 {
		near = min(near, 2)
	}
	for _, c := range cs[:near] {
		s, copies := c.server, 0
		if !takes(s) {
			continue
		}
		if inst := f.instanceOn(s, false); inst != nil {
			copies = inst.replicas + inst.loading
		}
		if copies < fewest {
			best, fewest = s, copies
		}
	}
	return best
}

func referenceWeight(r *Balancer, now Micros, s *server) float64 {
	weight := max(0.1, s.Weight) * r.capacity(now, s)
	if r.freshFor <= rareAnswers && r.deployment.Routers == 1 {
		free := max(0.05, min(1-s.report.Utilization, s.freeShare()))
		weight *= free * free / (1 + max(0, s.report.PendingLoads))
	} else if s.freeShare() < 0.25 || r.overloaded(now, s) {
		weight *= 0.01
	}
	return max(0.001, weight)
}

// days drives a balancer through random events: servers join, drain, leave, return and restart, requests arrive
// and are answered.
type days struct {
	t           *testing.T
	chance      *rand.Rand
	now         Micros
	r           *Balancer
	ids         []ServerID // of all servers there ever were
	requests    map[RequestID]*Request
	inFlight    []RequestID // with one attempt in flight each
	next        RequestID
	comparisons int            // comparisons made so far
	outcomes    map[string]int // the number of compared decisions, by outcome
}

func newDays(t *testing.T, seed uint64, servers int) *days {
	d := &days{t: t, chance: rand.New(rand.NewPCG(seed, 1)), now: at,
		requests: map[RequestID]*Request{}, outcomes: map[string]int{}}
	config := deployment()
	config.Routers = []int{1, 3, 300, 900}[seed%4]
	config.RouterIndex, config.Zone, config.EndpointsNeedSubscription = d.chance.IntN(config.Routers), 1, true
	if seed%8 >= 6 {
		config.LoadsOnMiss, config.LoadRateWindow, config.LoadRateBase, config.LoadRatePerRequest = false, 5*second, 100, 1
	}
	config.Classes = []Class{{LatencyObjective: second, MaxDeadline: 8 * second}, {LatencyObjective: second / 2, MaxDeadline: 4 * second, Idempotency: IdempotentByKey,
		DedupScope: OneZone, DedupWindow: 5 * second}, {LatencyObjective: second, MaxDeadline: 8 * second, Idempotency: NonIdempotent}}
	d.r = New(0, seed, config)
	var list []Endpoint
	for range servers {
		list = append(list, d.randomEndpoint(ServerID(d.chance.Uint64())))
	}
	d.listed(FullUpdate, list)
	return d
}

func (d *days) chanceOf(p float64) bool { return d.chance.Float64() < p }

func (d *days) randomEndpoint(id ServerID) Endpoint {
	if !slices.Contains(d.ids, id) {
		d.ids = append(d.ids, id)
	}
	l := Endpoint{Server: id, State: Ready, Zone: ZoneID(d.chance.IntN(3)),
		Weight: []float64{1, 1, 1, 0.5, 2, 0.02, d.chance.Float64() * 3}[d.chance.IntN(7)]}
	switch {
	case d.chanceOf(0.1):
		l.State = ServerState(d.chance.IntN(2))
	case d.chanceOf(0.3):
		l.StartedAt = d.now - Micros(d.chance.IntN(15*second)) + second
	}
	return l
}

// clone returns the balancer restored from a snapshot, with requests of its own.
func (d *days) clone() (*Balancer, map[RequestID]*Request) {
	requests := map[RequestID]*Request{}
	for id, req := range d.requests {
		copied := req.Snapshot().Restore()
		requests[id] = &copied
	}
	r, err := Restore(d.r.Snapshot(), requests)
	if err != nil {
		d.t.Fatal(err)
	}
	return r, requests
}

// checkEqual compares the balancer with a clone that the reference implementation has changed. Sends that are outside
// the slow-start window are left out: the check for them drops them.
func (d *days) checkEqual(reference *Balancer, what string) {
	d.t.Helper()
	if d.comparisons++; d.comparisons%4 == 0 {
		restored, _ := d.clone()
		d.checkIndex(restored)
	}
	got, want := d.r.Snapshot(), reference.Snapshot()
	for i := range min(len(got.Servers), len(want.Servers)) {
		want.Servers[i].LastListed = reference.servers.at(i).lastListed
		for _, s := range []*ServerSnapshot{&got.Servers[i], &want.Servers[i]} {
			s.SlowStartSends = slices.Clone(dropBefore(s.SlowStartSends, d.now-d.r.deployment.OverloadWindow))
		}
	}
	if !reflect.DeepEqual(got, want) {
		d.t.Fatalf("%s at %d:\n got %s\nwant %s", what, d.now, differ(got, want), differ(want, got))
	}
}

// checkUsableCount compares usableCount with a scan of all servers.
func (d *days) checkUsableCount(req *Request) {
	d.t.Helper()
	want := 0
	for s := range d.r.servers.all {
		if d.r.usableUnchanged(d.now, s, req) {
			want++
		}
	}
	if got := d.r.usableCount(d.now, req); got != want && !d.r.restrictedToGroup(req) {
		d.t.Fatalf("%d servers can be used at %d, counted %d", want, d.now, got)
	}
}

// checkIndex compares the index with the one that a restored balancer builds.
func (d *days) checkIndex(restored *Balancer) {
	d.t.Helper()
	ids := func(servers []*server) []ServerID {
		return convertAll(servers, func(s *server) ServerID { return s.Server })
	}
	got, want := &d.r.index, &restored.index
	all := slices.Collect(d.r.servers.all)
	for what, pair := range map[string][2][]ServerID{"all": {ids(all), ids(slices.Collect(restored.servers.all))},
		"gone": {ids(got.removed), ids(want.removed)}, "flying": {ids(got.busy), ids(want.busy)}} {
		if !slices.Equal(pair[0], pair[1]) {
			d.t.Fatalf("%s at %d: got %x, want %x", what, d.now, pair[0], pair[1])
		}
	}
	checkServerList(d.t, &d.r.servers, slices.Sorted(slices.Values(ids(all))))
	var ready []ServerID
	for i, s := range got.ready {
		if s.readyIndex != i || got.readyIDs[i] != s.Server {
			d.t.Fatalf("server %x at %d is at %d of the ready ones, not at %d: %x", s.Server, d.now, i, s.readyIndex, got.readyIDs)
		}
		ready = append(ready, s.Server)
	}
	slices.Sort(ready)
	if want := ids(slices.DeleteFunc(slices.Clone(all), func(s *server) bool { return s.State != Ready })); !slices.Equal(ready, want) {
		d.t.Fatalf("ready at %d: got %x, want %x", d.now, ready, want)
	}
	for i, s := range all {
		if s.weight != restored.servers.at(i).weight || !slices.EqualFunc(s.functions, restored.servers.at(i).functions, func(a, b *function) bool {
			return a.id == b.id && a == d.r.functions[a.id]
		}) {
			d.t.Fatalf("server %x at %d: got %+v, want %+v", s.Server, d.now, s, restored.servers.at(i))
		}
	}
	for _, s := range append(slices.Clone(got.impaired), got.slowStart.servers...) {
		if d.r.servers.find(s.Server) != s {
			d.t.Fatalf("server %x at %d is forgotten, and not", s.Server, d.now)
		}
	}
}

// differ describes the first server or field in which two snapshots differ.
func differ(a, b *Snapshot) string {
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
	return fmt.Sprintf("chance %d, rate %v, fresh %d, notes %q, recalls %v", a.Random, a.AnswerRate, a.ObservationTTL, a.ServerEvents, a.Cancellations)
}

func (d *days) listed(kind UpdateKind, list []Endpoint) {
	reference, _ := d.clone()
	referenceUpdateEndpoints(reference, d.now, kind, list)
	d.r.UpdateEndpoints(d.now, kind, list)
	d.checkEqual(reference, fmt.Sprintf("list of kind %d: %+v", kind, list))
}

func (d *days) wait() {
	reference, _ := d.clone()
	want, got := referenceMaintain(reference, d.now), d.r.Maintain(d.now)
	if !reflect.DeepEqual(got, want) {
		d.t.Fatalf("upkeep at %d: got %+v, want %+v", d.now, got, want)
	}
	d.checkEqual(reference, "upkeep")
}

// place compares the server that a load would go to with the reference implementation's choice, and then routes
// the request.
func (d *days) place(req *Request) {
	f := d.r.function(req)
	reference, jobs := d.clone()
	before := d.r.Snapshot()
	for _, purpose := range []loadPurpose{firstReplica, additionalReplica} {
		want := referenceLoadTarget(reference, d.now, reference.functions[req.Function], jobs[req.ID], purpose)
		got := d.r.loadTarget(d.now, f, req, purpose)
		if (got == nil) != (want == nil) || got != nil && got.Server != want.Server {
			d.t.Fatalf("a load for function %x at %d, purpose %d: got %+v, want %+v", f.id, d.now, purpose, got, want)
		}
		d.outcomes[fmt.Sprintf("several %t, hot %t, found %t", d.r.deployment.Routers > 1, f.recent > 1, got != nil)]++
	}
	d.checkUsableCount(req)
	d.checkUnusual(req)
	if d.r.deployment.Routers > 1 {
		d.checkHomes(f, req)
	}
	d.checkEqual(reference, "a load's server")
	if after := d.r.Snapshot(); !reflect.DeepEqual(before, after) {
		d.t.Fatalf("to look for a load's server at %d changed\n%s to\n%s", d.now, differ(before, after), differ(after, before))
	}
	d.done(req, d.r.Route(d.now, req))
}

func (d *days) done(req *Request, p Decision) {
	switch p.Action {
	case Forward:
		d.inFlight = append(d.inFlight, req.ID)
	case Reject, Fail:
		d.r.Cancel(d.now, req)
		delete(d.requests, req.ID)
	}
	for _, o := range p.LoadCommands {
		result := []Result{Succeeded, Overloaded, Failed, ConnectFailed}[d.chance.IntN(4)]
		d.r.HandleLoadResult(d.now, o.Server, o.Function, result, second, o.Replicas)
	}
}

func (d *days) arrive() {
	d.next++
	req := &Request{ID: d.next, Class: ClassID(d.chance.IntN(3)), Lanes: 1 + d.chance.IntN(4),
		ArrivedAt: d.now, Deadline: d.now + Micros(d.chance.IntN(8*second)), IsRetry: d.chanceOf(0.1)}
	switch d.chance.IntN(3) { // a busy function, some of them, and many rare ones
	case 0:
		req.Function = 1
	case 1:
		req.Function = FunctionID(2 + d.chance.IntN(6))
	case 2:
		req.Function = FunctionID(10 + d.chance.IntN(60))
	}
	d.requests[req.ID] = req
	d.place(req)
}

// answer ends an attempt that is in flight.
func (d *days) answer() {
	if len(d.inFlight) == 0 {
		return
	}
	i := d.chance.IntN(len(d.inFlight))
	req := d.requests[d.inFlight[i]]
	d.inFlight = slices.Delete(d.inFlight, i, i+1)
	no := len(req.Attempts) - 1
	o := Outcome{Attempt: AttemptID(no), Server: req.Attempts[no].Server, Duration: Micros(d.chance.IntN(second)),
		Result: []Result{Succeeded, Succeeded, Succeeded, Succeeded, Failed,
			Overloaded, TimedOut, ConnectFailed, ConnectionReset, NotLoaded}[d.chance.IntN(10)]}
	if o.Result == Succeeded {
		o.RequestDone, o.CacheStatus = true, CacheStatus(d.chance.IntN(3))
		o.Report = &LoadReport{Utilization: d.chance.Float64() * 1.2, PendingLoads: float64(d.chance.IntN(7)) - 1}
	}
	if p := d.r.HandleOutcome(d.now, req, o); o.RequestDone {
		delete(d.requests, req.ID)
	} else {
		d.done(req, p)
	}
}

// change sends an endpoint update for one to three servers, known and new ones.
func (d *days) change() {
	var list []Endpoint
	for range 1 + d.chance.IntN(3) {
		id := ServerID(d.chance.Uint64())
		if d.chanceOf(0.8) {
			id = d.ids[d.chance.IntN(len(d.ids))]
		}
		list = append(list, d.randomEndpoint(id))
	}
	d.listed(IncrementalUpdate, list)
}

// trouble changes what is known of a server that is early in some function's order.
func (d *days) trouble() {
	s := d.r.servers.at(d.chance.IntN(d.r.servers.len))
	switch d.chance.IntN(5) {
	case 0:
		s.backoffUntil = d.now + Micros(d.chance.IntN(2*second))
	case 1:
		s.ejected, s.probeAt = true, d.now+Micros(d.chance.IntN(2*second))
	case 2:
		s.report, s.reportedAt = LoadReport{Utilization: 0.95, PendingLoads: 3}, d.now
	case 3:
		s.queueing.add(d.now, 900)
	case 4:
		s.concurrencyLimit = float64(s.running) + 0.1
	}
	d.r.index.markImpaired(s)
}

func (d *days) step() {
	d.now += Micros(d.chance.IntN(100_000))
	switch p := d.chance.Float64(); {
	case p < 0.40:
		d.arrive()
	case p < 0.65:
		d.answer()
	case p < 0.75:
		d.change()
	case p < 0.88:
		d.trouble()
	case p < 0.98:
		d.wait()
	case p < 0.985:
		var list []Endpoint
		for _, id := range d.ids {
			if d.chanceOf(0.9) {
				list = append(list, d.randomEndpoint(id))
			}
		}
		d.listed([]UpdateKind{CachedUpdate, FullUpdate}[d.chance.IntN(2)], list)
	case p < 0.99:
		d.listed(FailedUpdate, nil)
	case p < 0.995:
		d.r, d.requests = d.clone() // a restart from a snapshot
	case p < 0.998:
		d.now += Micros([]int{5, 20, 400, 700}[d.chance.IntN(4)]) * second
	default: // to the exact microsecond at which one is forgotten
		for s := range d.r.servers.all {
			if s.State == Removed {
				d.now = max(d.now, s.lastListed+600*second)
				break
			}
		}
		d.wait()
	}
}

// With the index, each choice of a server for a load, each endpoint update and each maintenance is that of the
// reference implementation, bit for bit, and uses as many random numbers.
func TestDecidesAsThePlainWay(t *testing.T) {
	targets := map[string]int{}
	for seed := range uint64(16) {
		d := newDays(t, seed, []int{1, 5, 40, 200}[seed/4%4])
		for range 200 {
			d.step()
		}
		for how, n := range d.outcomes {
			targets[how] += n
		}
	}
	for _, several := range []bool{false, true} {
		for _, hot := range []bool{false, true} {
			if how := fmt.Sprintf("several %t, hot %t, found %t", several, hot, true); targets[how] < 100 {
				t.Errorf("%s: compared %d times only", how, targets[how])
			}
		}
	}
}

// burden gives each server, at random, something that makes it unusable or moves it to the end of the order.
func (d *days) burden(share float64) {
	r, one := d.r, d.chance.IntN(12) // one kind of burden for all; six or more: any kind
	for s := range r.servers.all {
		s.backoffUntil, s.ejected, s.loadsAfter, s.report, s.reportedAt, s.concurrencyLimit, s.running = 0, false, 0, LoadReport{}, 0, 0, 0
		if !d.chanceOf(share) {
			continue
		}
		which := one
		if one >= 6 {
			which = d.chance.IntN(6)
		}
		switch which {
		case 0:
			s.backoffUntil = d.now + 1
		case 1:
			s.ejected, s.probeAt = true, d.now+1
		case 2:
			s.report, s.reportedAt = LoadReport{Utilization: 0.95, PendingLoads: 3}, d.now
		case 3:
			s.concurrencyLimit, s.running = 4, 4
		case 4:
			s.loadsAfter = d.now + 1
		case 5:
			s.slowStartSends = []Micros{d.now, d.now, d.now, d.now, d.now, d.now}
		}
		r.index.markImpaired(s)
	}
}

// checkNearestHomes compares nearestHomes' bounded search with a scan of all servers.
func (d *days) checkNearestHomes(f *function, req *Request) {
	d.t.Helper()
	look, homes := d.r.nearestHomes(d.now, f, req)
	look = slices.Clone(look)
	all := d.r.allCandidates(d.now, f, req)
	want := d.r.homeCount(f, len(all))
	need := max(want, min(2, len(all)))
	if homes != want || len(look) < need {
		d.t.Fatalf("%d homes of %d servers at %d, want %d of %d", homes, len(look), d.now, want, len(all))
	}
	byKey := func(a, b candidate) int { return cmp.Compare(a.key, b.key) }
	slices.SortFunc(look, byKey)
	slices.SortFunc(all, byKey)
	if !slices.Equal(look[:need], all[:need]) {
		d.t.Fatalf("the first %d of %d servers at %d: got %+v, want %+v", need, len(all), d.now, look[:need], all[:need])
	}
}

// checkHomes compares the first two homes by the function's home set with those by a scan of all servers, and the set
// itself with the static keys of all servers. It reports whether the set was asked and sufficient.
func (d *days) checkHomes(f *function, req *Request) bool {
	d.t.Helper()
	all := slices.Clone(d.r.allCandidates(d.now, f, req))
	homes := d.r.homeCount(f, len(all))
	if homes < 2 {
		return false
	}
	got, sufficient := d.r.firstTwoHomes(d.now, f, req)
	byKey := func(a, b candidate) int { return cmp.Compare(a.key, b.key) }
	slices.SortFunc(all, byKey)
	want := all[:homes]
	for i, c := range want {
		own := hash(uint64(f.id), uint64(d.r.deployment.RouterIndex)+1)
		want[i].key = -math.Log(uniform(own, uint64(c.server.Server))) / c.weight
	}
	slices.SortFunc(want, byKey)
	if sufficient && !slices.Equal(got, want[:2]) {
		d.t.Fatalf("function %x at %d: the first two of %d homes: got %+v, want %+v", f.id, d.now, homes, got, want[:2])
	}
	if f.homes.seen == d.r.index.changeCount() {
		d.checkHomeSet(f)
	}
	return sufficient
}

// checkHomeSet compares a function's home set with the static keys of all ready servers.
func (d *days) checkHomeSet(f *function) {
	d.t.Helper()
	var keys []float64
	var entries []homeEntry
	for s := range d.r.servers.all {
		if s.State != Ready {
			continue
		}
		e := homeEntry{s.Server, rankKey(uint64(f.id), s.Server, max(0.1, s.Weight)),
			rankKey(hash(uint64(f.id), uint64(d.r.deployment.RouterIndex)+1), s.Server, max(0.1, s.Weight))}
		if e.key < f.homes.bound {
			keys, entries = append(keys, e.key), append(entries, e)
		}
	}
	slices.Sort(keys)
	slices.SortFunc(entries, func(a, b homeEntry) int { return cmp.Compare(a.ownKey, b.ownKey) })
	if !slices.Equal(f.homes.keys, keys) || !slices.Equal(f.homes.entries, entries) {
		d.t.Fatalf("function %x at %d: got home set %+v, want %v and %+v", f.id, d.now, f.homes, keys, entries)
	}
}

// checkUnusual checks that a server that can't be used, or whose weight is lowered, is marked as impaired or in slow
// start.
func (d *days) checkUnusual(req *Request) {
	d.t.Helper()
	if d.r.restrictedToGroup(req) || d.r.deployment.Routers == 1 {
		return
	}
	marked := slices.Collect(d.r.index.unusual)
	for s := range d.r.servers.all {
		if s.State == Ready && !slices.Contains(marked, s) &&
			(!d.r.usableUnchanged(d.now, s, req) || d.r.weight(d.now, s) != s.weight) {
			d.t.Fatalf("server %x at %d is not marked: %+v", s.Server, d.now, s)
		}
	}
	ids := convertAll(marked, func(s *server) ServerID { return s.Server })
	slices.Sort(ids)
	if len(slices.Compact(ids)) != len(marked) {
		d.t.Fatalf("servers at %d are marked twice", d.now)
	}
}

// A restarted server that still runs earlier attempts is crowded once it has a limit again.
func TestNewLimitMarksCrowdedServer(t *testing.T) {
	r := fleet(deployment(), 1)
	inst := stands(r, 1, 0)
	r.index.dropImpaired(func(*server) bool { return true })
	inst.server.running = 50
	r.UpdateEndpoints(at, IncrementalUpdate, []Endpoint{{Server: 1, State: Ready, Weight: 1, StartedAt: 1}})
	if r.slots(at, inst, r.functions[7], 1); !inst.server.crowded() || !inst.server.impaired {
		t.Errorf("a server with a limit of %v and %d attempts: crowded %t, marked %t", inst.server.concurrencyLimit,
			inst.server.running, inst.server.crowded(), inst.server.impaired)
	}
}

// checkRanking compares a function's ranking with the order of all ready servers.
func (d *days) checkRanking(f *function) {
	d.t.Helper()
	order := []rankingEntry{{key: math.Inf(1)}}
	for s := range d.r.servers.all {
		if s.State == Ready {
			order = append(order, rankingEntry{s.Server, rankKey(uint64(f.id), s.Server, max(0.1, s.Weight))})
		}
	}
	slices.SortFunc(order, func(a, b rankingEntry) int { return cmp.Compare(a.key, b.key) })
	if k := d.r.currentRanking(f); !slices.Equal(k.entries, order[:len(k.entries)]) || k.bound > order[len(k.entries)].key {
		d.t.Fatalf("function %x at %d: ranked %+v, want the first of %+v", f.id, d.now, k, order[:min(len(order), rankingLength+1)])
	}
}

// rankingCounts counts decisions by whether the ranking, or for a busy function the home set, was sufficient or fell
// short.
type rankingCounts struct{ sufficient, short, hot, homesSufficient, homesShort int }

// compareLoadTarget compares where a load for a random request goes with the reference implementation's choice.
func (d *days) compareLoadTarget(seed uint64, round int, counts *rankingCounts) {
	r := d.r
	req := &Request{Function: FunctionID(d.chance.IntN(8 + round%40)), ArrivedAt: d.now, Deadline: d.now + second}
	if d.chanceOf(0.1) { // one that may only be retried in its zone
		req.Class, req.Attempts = 1, []Attempt{{Zone: 1, MayHaveRun: true, Done: true, SentAt: d.now}}
	}
	f := r.function(req)
	f.recent, r.recent = []int{1, 1, 1, 2, 8, 128}[d.chance.IntN(6)], make([]*function, 128)
	d.checkUsableCount(req)
	d.checkUnusual(req)
	if d.chanceOf(0.3) {
		d.checkHomes(f, req)
		d.checkNearestHomes(f, req)
		d.checkRanking(f)
	}
	purpose := firstReplica
	if d.chanceOf(0.2) {
		purpose = additionalReplica
	}
	got, want := r.loadTarget(d.now, f, req, purpose), referenceLoadTarget(r, d.now, f, req, purpose)
	if got != want {
		d.t.Fatalf("seed %d, round %d, function %d of %d servers: got %+v, want %+v",
			seed, round, f.id, r.servers.len, got, want)
	}
	if f.recent > 1 {
		counts.hot++
		if d.checkHomes(f, req) {
			counts.homesSufficient++
		} else {
			counts.homesShort++
		}
	} else if two, known := r.firstTwoByRanking(d.now, f, req); known && len(two) > 0 {
		counts.sufficient++
	} else {
		counts.short++
	}
	if got != nil {
		f.instanceOn(got, true).replicas++ // the next goes to another of the first candidates
	}
}

// In fleets of any size, with any part of them unusable, overloaded or in slow start and with few or many endpoint
// updates between two decisions, a load goes where the reference implementation sends it: by the ranking, and
// where that is not sufficient.
func TestRankingTellsAsThePlainWay(t *testing.T) {
	var counts rankingCounts
	for seed := range uint64(28) {
		d := newDays(t, seed, 0)
		r := d.r
		if r.deployment.Routers < 2 {
			r.deployment.Routers = 300
		}
		r.deployment.SlowStartInitial = []float64{0.25, 0.01, 1, 3}[seed/4%4]
		n := []int{2, rankingLength, rankingLength + 1, rankingLength + 2, 40, 300, 1500}[seed%7]
		most, rounds, looks := []int{2, 30, 300}, 25, 8 // changes per round
		if seed%4 == 3 {
			most, rounds, looks = []int{1}, 200_000/(n+100), 1 // one by one, through more than the index keeps
		}
		powers := []float64{1, 1, 1, 1, 2, 0.05, 10}[:1+d.chance.IntN(7)]
		news := func(id ServerID) Endpoint {
			l := Endpoint{Server: id, State: Ready, Zone: ZoneID(d.chance.IntN(3)), Weight: powers[d.chance.IntN(len(powers))]}
			if d.chanceOf(0.3) {
				l.StartedAt = d.now - Micros(d.chance.IntN(12*second))
			}
			return l
		}
		var list []Endpoint
		for range n {
			list = append(list, news(ServerID(d.chance.Uint64())))
		}
		r.UpdateEndpoints(d.now, FullUpdate, list)
		for round := range rounds {
			d.now += Micros(d.chance.IntN(second))
			list = list[:0]
			for range min(n, 1+d.chance.IntN(most[d.chance.IntN(len(most))])) {
				l := r.servers.at(d.chance.IntN(r.servers.len)).Endpoint
				switch d.chance.IntN(4) {
				case 0:
					l.State = Draining
				case 1:
					l = news(l.Server)
				case 2:
					l.State = Removed
				case 3:
					l = news(ServerID(d.chance.Uint64()))
				}
				list = append(list, l)
			}
			r.UpdateEndpoints(d.now, IncrementalUpdate, list)
			r.answerRate, r.freshFor = d.chance.Float64()*3, Micros(1+d.chance.IntN(8))*second
			d.burden([]float64{0, 0.5, 0.9, 0.99}[d.chance.IntN(4)])
			for range looks {
				d.compareLoadTarget(seed, round, &counts)
			}
		}
	}
	if counts.sufficient < 2000 || counts.short < 500 || counts.hot < 2000 || counts.homesSufficient < 2000 || counts.homesShort < 500 {
		t.Errorf("the cases are too much alike: %+v", counts)
	}
}

// A ranking has the lowest keys in order, and its bound is the next one.
func TestRankingKeepsTheLowest(t *testing.T) {
	chance := rand.New(rand.NewPCG(1, 1))
	for n := range 3 * rankingLength {
		for range 40 {
			keys, k := make([]float64, n), ranking{bound: math.Inf(1)}
			for i := range keys {
				keys[i] = chance.Float64()
				k.add(ServerID(i), keys[i])
			}
			sorted := append(slices.Sorted(slices.Values(keys)), math.Inf(1))
			for i, p := range k.entries {
				if p.key != sorted[i] || p.key != keys[p.id] {
					t.Fatalf("%d keys: got %+v, want %v", n, k.entries, sorted)
				}
			}
			if len(k.entries) != min(n, rankingLength) || k.bound != sorted[len(k.entries)] {
				t.Fatalf("%d keys: got %d with bound %v of %v", n, len(k.entries), k.bound, sorted)
			}
		}
	}
}

// A weight that is NaN or infinite keeps no load from its server.
func TestOddPowersServe(t *testing.T) {
	for _, power := range []float64{math.NaN(), math.Inf(1), math.Inf(-1)} {
		config := deployment()
		config.Routers = 300
		r := New(0, 1, config)
		var list []Endpoint
		for id := range ServerID(3 * rankingLength) {
			list = append(list, Endpoint{Server: id, State: Ready, Weight: power})
		}
		r.UpdateEndpoints(at, FullUpdate, list)
		for id := range RequestID(10) {
			req := newJob(id)
			req.Function = FunctionID(id)
			if p := r.Route(at, req); p.Action != Forward {
				t.Errorf("power %v: got %+v", power, p)
			}
		}
	}
}

// A scan by hash finds every server within the distance, however close to it.
func TestNextWithinSkipsNone(t *testing.T) {
	chance := rand.New(rand.NewPCG(1, 1))
	f := &function{}
	for range 1000 {
		var idx index
		f.id = FunctionID(chance.Uint64())
		for range 8 {
			idx.setReady(&server{Endpoint: Endpoint{Server: ServerID(chance.Uint64()), State: Ready}, readyIndex: -1})
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
