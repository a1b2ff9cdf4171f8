package core

import (
	"testing"

	"hollymast/control"
)

// newBusyCore returns a core with 80 servers and 1000 functions that are each requested once, as when a whole fleet
// restarts with nothing loaded: two requests per server wait for loads, the others are held. The last requests are then
// cancelled until 500 are held.
func newBusyCore() (*Core, control.Micros) {
	deployment := control.Deployment{Routers: 3, Tick: 4000, MaxAttempts: 3, SupportsCancel: true,
		OverloadWindow: 1_000_000, KeepAlive: 60_000_000, SupportsLoadCommands: true, LoadsOnMiss: true,
		Classes: []control.Class{{LatencyObjective: 1_000_000, MaxDeadline: 60_000_000}}}
	const functions, servers, held = 1000, 80, 500
	c := New(control.New(1, 1, deployment), NoopExecutor{})
	list := make([]control.Endpoint, servers)
	for i := range list {
		list[i] = control.Endpoint{Server: control.ServerID(i + 1), State: control.Ready, Weight: 1}
	}
	now := control.Micros(1_000_000_000)
	c.UpdateEndpoints(now, control.FullUpdate, list)
	for i := range functions {
		c.Add(now, control.Request{ID: control.RequestID(i), Function: control.FunctionID(i), Lanes: 1, ArrivedAt: now,
			Deadline: now + 1<<50})
	}
	c.Step(now)
	for i := control.RequestID(0); c.Held() > held; i++ {
		c.Cancel(now, functions-1-i)
		c.Step(now)
	}
	return c, now
}

func BenchmarkStep(b *testing.B) {
	c, now := newBusyCore()
	for b.Loop() {
		c.Step(now)
		now++ // so little that maintenance is rarely due
	}
	b.ReportMetric(float64(c.Held()), "held")
}

func BenchmarkMaintenance(b *testing.B) {
	c, now := newBusyCore()
	for b.Loop() {
		c.Step(now)
		now += 200_000 // maintenance is due each time
	}
	b.ReportMetric(float64(c.Held()), "held")
}

// BenchmarkSnapshot measures the checkpoint that a recording takes during a step.
func BenchmarkSnapshot(b *testing.B) {
	c, _ := newBusyCore()
	for b.Loop() {
		if _, err := c.Snapshot(); err != nil {
			b.Fatal(err)
		}
	}
}
