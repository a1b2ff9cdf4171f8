package core

import (
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"hollymast/control"
)

// sentAttempt is an attempt without an outcome.
type sentAttempt struct {
	request control.RequestID
	attempt control.AttemptID
	server  control.ServerID
}

// testCore is a core that logs its executor calls and keeps track of its attempts in flight.
type testCore struct {
	*Core
	callLog
	sent []sentAttempt
}

func newTestCore(policy Policy) *testCore {
	c := &testCore{}
	c.Core = New(policy, c)
	return c
}

func (c *testCore) Forward(r *control.Request, attempt control.AttemptID, to control.ServerID, timeout control.Micros) {
	c.callLog.Forward(r, attempt, to, timeout)
	c.sent = append(c.sent, sentAttempt{r.ID, attempt, to})
}

// addRandomTraffic adds the same random requests and outcomes to each core.
func addRandomTraffic(t *rapid.T, now control.Micros, next *control.RequestID, cores ...*testCore) {
	for range rapid.IntRange(0, 4).Draw(t, "requests") {
		*next++
		r := control.Request{ID: *next, Class: control.ClassID(rapid.IntRange(0, 2).Draw(t, "class")),
			Function: control.FunctionID(rapid.IntRange(1, 6).Draw(t, "function")), Lanes: 2, ArrivedAt: now,
			Deadline: now + control.Micros(rapid.IntRange(1, 3_000_000).Draw(t, "timeout")),
			IsRetry:  rapid.Bool().Draw(t, "retry")}
		for _, c := range cores {
			c.Add(now, r)
		}
	}
	for range rapid.IntRange(0, 4).Draw(t, "answers") {
		if len(cores[0].sent) == 0 {
			break
		}
		i := rapid.IntRange(0, len(cores[0].sent)-1).Draw(t, "which")
		sent := cores[0].sent[i]
		o := control.Outcome{Attempt: sent.attempt, Server: sent.server,
			Result:      control.Result(rapid.IntRange(0, 8).Draw(t, "result")),
			CacheStatus: control.CacheStatus(rapid.IntRange(0, 4).Draw(t, "cache status")),
			Duration:    control.Micros(rapid.IntRange(1, 900_000).Draw(t, "took"))}
		o.RequestDone = o.Result == control.Succeeded
		if rapid.Bool().Draw(t, "reported") {
			o.Report = &control.LoadReport{Utilization: rapid.Float64Range(0, 1).Draw(t, "util"), PendingLoads: 1}
		}
		for _, c := range cores {
			c.sent = slices.Delete(c.sent, i, i+1)
			c.HandleOutcome(now, sent.request, o)
		}
	}
}

// randomStep takes a step after random events, the same for each core.
func randomStep(t *rapid.T, now control.Micros, next *control.RequestID, cores ...*testCore) {
	addRandomTraffic(t, now, next, cores...)
	switch rapid.IntRange(0, 9).Draw(t, "else") {
	case 0:
		id := control.RequestID(rapid.Uint64Range(0, uint64(*next)).Draw(t, "cancelled"))
		for _, c := range cores {
			c.Cancel(now, id)
		}
	case 1:
		list := make([]control.Endpoint, rapid.IntRange(1, 5).Draw(t, "servers"))
		for i := range list {
			list[i] = control.Endpoint{Server: control.ServerID(i + 1),
				State: control.ServerState(rapid.IntRange(1, 2).Draw(t, "state")), Weight: 1,
				Zone: control.ZoneID(i % 2), StartedAt: control.Micros(rapid.Int64Range(0, int64(now)).Draw(t, "started at"))}
		}
		for _, c := range cores {
			c.UpdateEndpoints(now, control.FullUpdate, list)
		}
	case 2:
		s, replicas := control.ServerID(rapid.IntRange(1, 5).Draw(t, "server")), rapid.IntRange(0, 3).Draw(t, "replicas")
		for _, c := range cores {
			c.HandleLoadResult(now, s, 1, control.Succeeded, 1000, replicas)
		}
	}
	for _, c := range cores {
		c.Step(now)
	}
}

// randomDeployment returns the settings of one of two routers, with a class for each level of idempotency.
func randomDeployment(t *rapid.T) control.Deployment {
	return control.Deployment{Routers: 2, Tick: 4000, MaxAttempts: 3, MaxRetryAfter: 1_000_000, SupportsCancel: true,
		SlowStartInitial: 0.25, SlowStartDuration: 2_000_000, OverloadWindow: 500_000, OverloadFactor: 2,
		KeepAlive: 1_000_000, SupportsLoadCommands: true, LoadRateWindow: 1_000_000, LoadRateBase: 3, LoadRatePerRequest: 0.2,
		LoadsOnMiss: rapid.Bool().Draw(t, "on miss"), Quotas: []float64{3}, Classes: []control.Class{
			{LatencyObjective: 300_000, MaxDeadline: 3_000_000},
			{LatencyObjective: 300_000, MaxDeadline: 3_000_000, Idempotency: control.NonIdempotent},
			{LatencyObjective: 300_000, MaxDeadline: 3_000_000, Idempotency: control.IdempotentByKey, DedupScope: control.OneZone,
				DedupWindow: 1_000_000}}}
}

// A core restored from any reachable state makes the same decisions as the original from then on.
func TestRestoredCoreDecidesTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		deployment := randomDeployment(t)
		now, next := control.Micros(10_000_000), control.RequestID(0)
		a := newTestCore(control.New(now, 7, deployment))
		a.UpdateEndpoints(now, control.FullUpdate, []control.Endpoint{{Server: 1, State: control.Ready, Weight: 1},
			{Server: 2, State: control.Ready, Weight: 2}})
		for range rapid.IntRange(1, 60).Draw(t, "before") {
			now += control.Micros(rapid.IntRange(1, 300_000).Draw(t, "pause"))
			randomStep(t, now, &next, a)
		}
		s, err := a.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		b := &testCore{sent: slices.Clone(a.sent)}
		if b.Core, err = Restore(s, b); err != nil {
			t.Fatal(err)
		}
		a.takeCalls()
		for n := range 1000 {
			now += control.Micros(1 + uint64(n)*7919%200_000)
			if n < 100 {
				randomStep(t, now, &next, a, b)
			} else {
				a.Step(now)
				b.Step(now)
			}
			if x, y := a.takeCalls(), b.takeCalls(); !slices.Equal(x, y) {
				t.Fatalf("step %d after the snapshot: original %q, restored %q", n, x, y)
			}
		}
		x, _ := a.Snapshot()
		if y, _ := b.Snapshot(); !reflect.DeepEqual(x, y) {
			t.Fatalf("states differ at the end: %+v, %+v", x, y)
		}
	})
}

func TestRestoreRejectsInconsistentSnapshots(t *testing.T) {
	for name, s := range map[string]*Snapshot{
		"no balancer":   {},
		"held request":  {Held: []control.RequestID{1}, Balancer: &control.Snapshot{}},
		"table lengths": {Balancer: &control.Snapshot{QuotaDebt: []control.Micros{1}}},
		"attempt in flight": {Balancer: &control.Snapshot{Servers: []control.ServerSnapshot{
			{InFlight: []control.InFlightSnapshot{{Request: 1}}}}}},
		"order of servers": {Balancer: &control.Snapshot{Servers: make([]control.ServerSnapshot, 2)}},
		"instance": {Balancer: &control.Snapshot{Functions: []control.FunctionSnapshot{
			{Instances: make([]control.InstanceSnapshot, 1)}}}},
		"last function": {Balancer: &control.Snapshot{RecentFunctions: []int{0}}},
	} {
		if _, err := Restore(s, &callLog{}); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
