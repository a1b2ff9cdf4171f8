package simulation

import (
	"fmt"
	"testing"

	"hollymast/control"
	"hollymast/internal/invariant"
	"hollymast/internal/modelserver"
)

const second = control.Micros(1_000_000)

// small is a plan of a few routers and servers, with calls at an even pace.
func small(calls int, troubles ...Trouble) *Plan {
	p := &Plan{Seed: 1, Routers: 3, Lanes: 2, Fetch: 20_000, AtOnce: 4, Clients: 4, Length: 6 * second, Margin: 20_000, Damped: true, ListEvery: 50_000,
		Workloads: []Workload{{Name: "w", Importance: 1, Told: control.Class{LatencyObjective: 400_000, MaxDeadline: 3 * second, Effect: control.Idempotent}},
			{Name: "once", Importance: 2, Told: control.Class{LatencyObjective: 400_000, MaxDeadline: 3 * second, Effect: control.NonIdempotent}}},
		Troubles: troubles}
	p.Deployment = control.Deployment{Tick: 4_000, MaxAttempts: 3, MaxRetryAfter: 2 * second, SupportsCancel: true, MarksRetries: true, SlowStartInitial: 0.25, SlowStartDuration: 2 * second,
		OverloadWindow: second, OverloadFactor: 2, KeepAlive: 5 * second, LoadCommands: true, LoadsOnMiss: true}
	for _, w := range p.Workloads {
		p.Deployment.Classes = append(p.Deployment.Classes, w.Told)
	}
	for i := range 4 {
		p.Servers = append(p.Servers, modelserver.Make{Number: i, Copies: 20, Lanes: 2, Cores: 2, Work: 20_000, Queue: 20, Load: 50_000, Loads: 4, Window: 5 * second,
			Forgets: OnceMark, Cold: 2 * second, ColdFrom: 0.25, Fall: second, FallOver: 200, Seed: 1})
		p.Zones = append(p.Zones, 0)
	}
	p.RouterZone = make([]control.ZoneID, p.Routers)
	for i := range calls {
		p.Calls = append(p.Calls, Call{At: control.Micros(i) * 6 * second / control.Micros(calls), Number: i, Workload: i % 2, Function: fmt.Sprint("f", i%7), Patience: 2 * second,
			Rude: i%5 == 0, Router: i % 3})
	}
	return p
}

func judge(p *Plan, res *Result) *invariant.Report {
	return invariant.Check(invariant.Config{DrainGrace: 500_000, MaxNetworkDelay: 50_000, SlowStartDuration: int64(p.Deployment.SlowStartDuration), SlowStartInitial: 0.25, OverloadWindow: int64(second), OverloadFactor: 2, ServerRate: 100,
		Zone: make([]string, 4), Cell: make([]string, 4), Classes: map[string]invariant.Class{"once": {NonIdempotent: true}}}, res.Records)
}

// The same plan gives the same records on one, two and four threads, whatever goes wrong; another seed gives others.
func TestThreadsChangeNothing(t *testing.T) {
	troubles := []Trouble{{Kind: Crash, At: second, Lasts: second / 2, Which: []int{0, 1}}, {Kind: Freeze, At: 2 * second, Lasts: second, Which: []int{1}},
		{Kind: KillRouters, At: 3 * second, Lasts: second / 2, Which: []int{0, 2}}, {Kind: Store, At: second, Lasts: second, Close: true},
		{Kind: Partition, At: 4 * second, Lasts: second, Which: []int{0}, Apart: []int{2, 3}}, {Kind: Deploy, At: 4 * second, Lasts: second, Which: []int{3}}}
	hashes := map[uint64]bool{}
	for _, threads := range []int{1, 2, 4} {
		res := Run(small(900, troubles...), threads)
		if hashes[res.Hash] = true; len(res.Records) < 2000 || res.Events < 5000 {
			t.Errorf("%d records, %d events", len(res.Records), res.Events)
		}
	}
	if len(hashes) != 1 {
		t.Errorf("%d ways to play one plan", len(hashes))
	}
	p := small(900, troubles...)
	p.Seed = 2
	if res := Run(p, 1); hashes[res.Hash] {
		t.Error("another seed plays the same")
	}
}

// Rules are kept and every call has its end, under each trouble alone.
func TestRulesUnderEachTrouble(t *testing.T) {
	for name, x := range map[string]Trouble{
		"silent": {Kind: Fault, Which: []int{0, 1}, Fault: modelserver.Faults{Silent: true}}, "lost": {Kind: Fault, Which: []int{0, 1, 2, 3}, Fault: modelserver.Faults{Lost: 0.3}},
		"reset": {Kind: Fault, Which: []int{0, 1}, Fault: modelserver.Faults{ResetPost: 0.5}}, "crash": {Kind: Crash, Which: []int{0, 1, 2}}, "deploy": {Kind: Deploy, Which: []int{0, 1}},
		"store": {Kind: Store, Close: true}, "frozen": {Kind: Freeze, Which: []int{0, 1, 2}}, "killed": {Kind: KillRouters, Which: []int{0, 1, 2}},
		"partition": {Kind: Partition, Which: []int{0, 1}, Apart: []int{0, 1}},
	} {
		x.At, x.Lasts = 2*second, second
		p := small(600, x)
		res := Run(p, 2)
		v := judge(p, res)
		for _, r := range v.Rules {
			for _, b := range r.Violations {
				t.Errorf("%s: rule %d: %s", name, r.Number, b)
			}
		}
		for i, e := range res.Effects {
			if e.Tries == 0 {
				t.Fatalf("%s: call %d never ended", name, i)
			}
		}
		if v.Succeeded < 400 {
			t.Errorf("%s: %d of 600 finished", name, v.Succeeded)
		}
	}
}

// A router that is cut off from some servers serves through the others, and its jobs never reach those; the rest of the routers go on.
func TestPartition(t *testing.T) {
	res := Run(small(600, Trouble{Kind: Partition, At: second, Lasts: 3 * second, Which: []int{0}, Apart: []int{0, 1}}), 2)
	from, to := int64(epoch+second+20_000), int64(epoch+4*second)
	got := map[bool]int{}
	for _, r := range res.Records {
		if r.Kind == invariant.AttemptReceived && r.At > from && r.At < to && r.Server < 2 {
			got[r.Router == 0]++
		}
	}
	if got[true] != 0 || got[false] == 0 {
		t.Errorf("the servers got %d jobs of the router that is cut off, and %d of others", got[true], got[false])
	}
}

// Ties end by node and count, not by the order in which they were put in.
func TestTies(t *testing.T) {
	for _, threads := range []int{1, 3} {
		e := newEngine(threads, leastWay)
		var nodes []*node
		for range 4 {
			nodes = append(nodes, e.node(1))
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
