package core

import (
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"hollymast/control"
)

// anyMemory draws a memory that a file might hold, true or not.
func anyMemory(t *rapid.T, now control.Micros) *control.LearnedState {
	time := func() control.Micros {
		return control.Micros(rapid.Int64Range(0, int64(now)+5_000_000).Draw(t, "time"))
	}
	times := func() []control.Micros {
		return rapid.SliceOfN(rapid.Map(rapid.Int64Range(int64(now)-3_000_000, int64(now)+1_000_000), func(v int64) control.Micros { return control.Micros(v) }), 0, 6).Draw(t, "times")
	}
	m := &control.LearnedState{SavedAt: time(), StartedAt: time(), QuotaDebt: times(), LoadCommands: times(), Admitted: times(), Answers: times()}
	for id := range control.ServerID(7) {
		if rapid.Bool().Draw(t, "known") {
			m.Servers = append(m.Servers, control.LearnedServer{Server: id, StartedAt: time(), SlowStartSends: times()})
		}
	}
	for id := range control.FunctionID(8) {
		f := control.LearnedFunction{ID: id, Lanes: rapid.IntRange(0, 4).Draw(t, "lanes")}
		for s := range control.ServerID(7) {
			if rapid.Bool().Draw(t, "stands") {
				f.Instances = append(f.Instances, control.LearnedInstance{Server: s, Replicas: rapid.IntRange(0, 3).Draw(t, "copies"), LastUsed: time(),
					Loading: rapid.IntRange(0, 2).Draw(t, "loading"), LoadingSince: time()})
			}
		}
		m.Functions = append(m.Functions, f)
	}
	return m
}

// With any memory, true or not, nothing goes where the list forbids it, orders stay within their ration and jobs still run.
func TestAnyMemoryKeepsTheRules(t *testing.T) {
	sent := 0
	rapid.Check(t, func(t *rapid.T) {
		now, next := control.Micros(100_000_000), control.RequestID(0)
		told := control.Deployment{Routers: 2, Tick: 4000, MaxAttempts: 3, MaxRetryAfter: 1_000_000, SupportsCancel: true, SlowStartInitial: 0.25,
			SlowStartDuration: 2_000_000, OverloadWindow: 500_000, OverloadFactor: 2, KeepAlive: 1_000_000, LoadCommands: true, LoadRateWindow: 1_000_000, LoadRateBase: 3,
			LoadsOnMiss: rapid.Bool().Draw(t, "on miss"), Quotas: []float64{3}, Classes: []control.Class{
				{LatencyObjective: 300_000, MaxDeadline: 3_000_000}, {LatencyObjective: 300_000, MaxDeadline: 3_000_000, Effect: control.NonIdempotent},
				{LatencyObjective: 300_000, MaxDeadline: 3_000_000, Effect: control.IdempotentByKey, Scope: control.OneZone, Window: 1_000_000}}}
		m := anyMemory(t, now)
		module := control.New(now, 7, told)
		module.ApplyLearned(now, m)
		d := &driven{}
		d.Core = New(module, d)
		list := []control.Endpoint{{Server: 1, State: control.Ready, Weight: 1}, {Server: 2, State: control.Draining, Weight: 1}, {Server: 3, State: control.Ready, Weight: 1}}
		d.UpdateEndpoints(now, control.FullUpdate, list)
		var orders []control.Micros
		for _, at := range m.LoadCommands {
			orders = append(orders, min(at, now))
		}
		for range 60 {
			now += control.Micros(rapid.IntRange(1, 50_000).Draw(t, "pause"))
			next++
			d.Add(now, control.Request{ID: next, Function: control.FunctionID(rapid.IntRange(0, 9).Draw(t, "function")), Lanes: 2, ArrivedAt: now, Deadline: now + 3_000_000})
			d.Step(now)
			for _, x := range d.taken() {
				if strings.HasPrefix(x, "send") && strings.HasSuffix(x, "to 2") {
					t.Fatalf("a draining server got a job: %s", x)
				}
				if strings.HasPrefix(x, "order") {
					orders = append(orders, now)
					if n := len(slices.DeleteFunc(slices.Clone(orders), func(at control.Micros) bool { return at < now-told.LoadRateWindow })); float64(n) > told.LoadRateBase {
						t.Fatalf("%d orders within a window", n)
					}
				}
			}
			for _, x := range d.sent {
				if x.server != 1 && x.server != 3 {
					t.Fatalf("server %d, not on the list, got a job", x.server)
				}
				sent++
				d.HandleOutcome(now, x.job, control.Outcome{Attempt: x.no, Server: x.server, Result: control.Succeeded, Duration: 40_000, RequestDone: true})
			}
			d.sent = d.sent[:0]
		}
	})
	if sent == 0 {
		t.Error("no job was ever sent")
	}
}

// BenchmarkRemember is the copy that a memory's writing takes between two turns.
func BenchmarkRemember(b *testing.B) {
	c, now := crowded()
	for b.Loop() {
		if c.LearnedState(now) == nil {
			b.Fatal("nothing to remember")
		}
	}
}
