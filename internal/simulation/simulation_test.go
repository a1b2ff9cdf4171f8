package simulation

import (
	"fmt"
	"testing"

	"hollymast/control"
	"hollymast/internal/invariant"
	"hollymast/internal/modelserver"
)

const second = control.Micros(1_000_000)

// smallPlan is a plan of a few routers and servers, with calls at an even pace.
func smallPlan(calls int, incidents ...Incident) *Plan {
	p := &Plan{Seed: 1, Routers: 3, LanesPerRequest: 2, FetchTime: 20_000, MaxConcurrentFetches: 4, Clients: 4, Duration: 6 * second, AnswerMargin: 20_000, OverloadProtection: true, EndpointPollInterval: 50_000,
		Classes: []Class{{Name: "w", Importance: 1, Spec: control.Class{LatencyObjective: 400_000, MaxDeadline: 3 * second, Idempotency: control.Idempotent}},
			{Name: "once", Importance: 2, Spec: control.Class{LatencyObjective: 400_000, MaxDeadline: 3 * second, Idempotency: control.NonIdempotent}}},
		Incidents: incidents}
	p.Deployment = control.Deployment{Tick: 4_000, MaxAttempts: 3, MaxRetryAfter: 2 * second, SupportsCancel: true, ClientsMarkRetries: true, SlowStartInitial: 0.25, SlowStartDuration: 2 * second,
		OverloadWindow: second, OverloadFactor: 2, KeepAlive: 5 * second, SupportsLoadCommands: true, LoadsOnMiss: true}
	for _, w := range p.Classes {
		p.Deployment.Classes = append(p.Deployment.Classes, w.Spec)
	}
	for i := range 4 {
		p.Servers = append(p.Servers, modelserver.Config{Number: i, MaxReplicas: 20, Lanes: 2, Cores: 2, ExecutionTime: 20_000, QueueLimit: 20, LoadTime: 50_000, MaxConcurrentLoads: 4, DedupWindow: 5 * second,
			NoDedupPrefix: NonIdempotentKeyPrefix, SlowStartDuration: 2 * second, SlowStartInitial: 0.25, OverloadWindow: second, OverloadRate: 200, Seed: 1})
		p.ServerZones = append(p.ServerZones, 0)
	}
	p.RouterZones = make([]control.ZoneID, p.Routers)
	for i := range calls {
		p.Calls = append(p.Calls, Call{At: control.Micros(i) * 6 * second / control.Micros(calls), Number: i, Class: i % 2, Function: fmt.Sprint("f", i%7), Timeout: 2 * second,
			RetriesBlindly: i%5 == 0, FirstRouter: i % 3})
	}
	return p
}

func judge(p *Plan, res *Result) *invariant.Report {
	return invariant.Check(invariant.Config{DrainGrace: 500_000, MaxNetworkDelay: 50_000, SlowStartDuration: int64(p.Deployment.SlowStartDuration), SlowStartInitial: 0.25, OverloadWindow: int64(second), OverloadFactor: 2, ServerRate: 100,
		Zone: make([]string, 4), Cell: make([]string, 4), Classes: map[string]invariant.Class{"once": {NonIdempotent: true}}}, res.Records)
}

// The same plan gives the same records on one, two and four threads, whatever incidents there are; another seed gives others.
func TestThreadsChangeNothing(t *testing.T) {
	incidents := []Incident{{Kind: ServerCrash, At: second, Duration: second / 2, Targets: []int{0, 1}}, {Kind: RouterStall, At: 2 * second, Duration: second, Targets: []int{1}},
		{Kind: RouterCrash, At: 3 * second, Duration: second / 2, Targets: []int{0, 2}}, {Kind: StoreDegraded, At: second, Duration: second, StoreClosed: true},
		{Kind: NetworkPartition, At: 4 * second, Duration: second, Targets: []int{0}, Unreachable: []int{2, 3}}, {Kind: ServerDeploy, At: 4 * second, Duration: second, Targets: []int{3}}}
	hashes := map[uint64]bool{}
	for _, threads := range []int{1, 2, 4} {
		res := Run(smallPlan(900, incidents...), threads)
		if hashes[res.Hash] = true; len(res.Records) < 2000 || res.Events < 5000 {
			t.Errorf("%d records, %d events", len(res.Records), res.Events)
		}
	}
	if len(hashes) != 1 {
		t.Errorf("%d different days of one plan", len(hashes))
	}
	p := smallPlan(900, incidents...)
	p.Seed = 2
	if res := Run(p, 1); hashes[res.Hash] {
		t.Error("another seed gives the same day")
	}
}

// The rules hold and every call ends, under each kind of incident alone.
func TestRulesUnderEachIncident(t *testing.T) {
	for name, x := range map[string]Incident{
		"silent": {Kind: ServerFault, Targets: []int{0, 1}, Faults: modelserver.Faults{Unresponsive: true}}, "lost": {Kind: ServerFault, Targets: []int{0, 1, 2, 3}, Faults: modelserver.Faults{LostResponses: 0.3}},
		"reset": {Kind: ServerFault, Targets: []int{0, 1}, Faults: modelserver.Faults{ResetAfter: 0.5}}, "crash": {Kind: ServerCrash, Targets: []int{0, 1, 2}}, "deploy": {Kind: ServerDeploy, Targets: []int{0, 1}},
		"store": {Kind: StoreDegraded, StoreClosed: true}, "frozen": {Kind: RouterStall, Targets: []int{0, 1, 2}}, "killed": {Kind: RouterCrash, Targets: []int{0, 1, 2}},
		"partition": {Kind: NetworkPartition, Targets: []int{0, 1}, Unreachable: []int{0, 1}},
	} {
		x.At, x.Duration = 2*second, second
		p := smallPlan(600, x)
		res := Run(p, 2)
		v := judge(p, res)
		for _, r := range v.Rules {
			for _, b := range r.Violations {
				t.Errorf("%s: rule %d: %s", name, r.Number, b)
			}
		}
		for i, e := range res.Outcomes {
			if e.Attempts == 0 {
				t.Fatalf("%s: call %d never ended", name, i)
			}
		}
		if v.Succeeded < 400 {
			t.Errorf("%s: %d of 600 finished", name, v.Succeeded)
		}
	}
}

// A router that is partitioned from some servers uses the others, and its requests never reach those; the other routers go on.
func TestPartition(t *testing.T) {
	res := Run(smallPlan(600, Incident{Kind: NetworkPartition, At: second, Duration: 3 * second, Targets: []int{0}, Unreachable: []int{0, 1}}), 2)
	from, to := int64(epoch+second+20_000), int64(epoch+4*second)
	got := map[bool]int{}
	for _, r := range res.Records {
		if r.Kind == invariant.AttemptReceived && r.At > from && r.At < to && r.Server < 2 {
			got[r.Router == 0]++
		}
	}
	if got[true] != 0 || got[false] == 0 {
		t.Errorf("the servers got %d requests of the partitioned router, and %d of others", got[true], got[false])
	}
}

// Simultaneous events are ordered by node and count, not by the order in which they were scheduled.
func TestOrderOfSimultaneousEvents(t *testing.T) {
	for _, threads := range []int{1, 3} {
		e := newEngine(threads, minDelay)
		var nodes []*node
		for range 4 {
			nodes = append(nodes, e.newNode(1))
		}
		var got []int
		for _, i := range []int{3, 1, 2} {
			n := nodes[i]
			n.at(10, func() { n.send(nodes[0], 0, func() { got = append(got, i) }) })
		}
		e.run(second)
		if fmt.Sprint(got) != "[1 2 3]" {
			t.Errorf("%d threads: %v", threads, got)
		}
	}
}
