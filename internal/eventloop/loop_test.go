package eventloop

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"hollymast/control"
	"hollymast/internal/core"
	"hollymast/internal/fleet"
)

const grace = control.Micros(500_000)

// newTestLoop returns a loop, a fleet and a core that start now.
func newTestLoop(t *testing.T) (*Loop, *fleet.Fleet, *core.Core) {
	t.Helper()
	loop := New(NewClock(time.Now()), grace)
	t.Cleanup(loop.StopTimer)
	deployment := control.Deployment{Classes: []control.Class{{MaxDeadline: 1_000_000}}, Quotas: []float64{1}, Routers: 1, MaxAttempts: 1}
	return loop, fleet.New(0), core.New(control.New(loop.Epoch, 1, deployment), core.NoopExecutor{})
}

// The clock starts at the wall clock's time and advances from there.
func TestClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wall := time.UnixMicro(1_800_000_000_000_000)
		clock := NewClock(wall)
		if clock.Epoch != 1_800_000_000_000_000 || clock.Now() != clock.Epoch {
			t.Errorf("it starts at %d, now %d", clock.Epoch, clock.Now())
		}
		time.Sleep(1500 * time.Microsecond)
		now := clock.Now()
		if now != clock.Epoch+1500 || clock.At(time.Now().Add(-time.Millisecond)) != clock.Epoch+500 || !clock.Time(now).Equal(time.Now()) {
			t.Errorf("after 1500 us: got %d us since the start, converted to %v", now-clock.Epoch, clock.Time(now))
		}
	})
}

// Endpoint updates are handled before other events.
func TestStep(t *testing.T) {
	loop, fleet, core := newTestLoop(t)
	var order []string
	loop.Post(func(control.Micros) { order = append(order, "event") })
	loop.PostEndpoints(func(now control.Micros) {
		order = append(order, "endpoints")
		if now != loop.StepTime {
			t.Errorf("the step is at %d, its events at %d", loop.StepTime, now)
		}
	})
	<-loop.Ready()
	batch := loop.Drain()
	loop.Step(loop.Now(), batch, fleet, core)
	if want := []string{"endpoints", "event"}; !slices.Equal(order, want) {
		t.Errorf("got %q, want %q", order, want)
	}
	if len(loop.Drain()) > 0 {
		t.Error("events are left in the queue")
	}
}

func TestTimer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loop, _, _ := newTestLoop(t)
		if _, stalled := loop.Stalled(); stalled {
			t.Error("stalled before the timer was set")
		}
		expectFireAfter := func(want time.Duration) {
			t.Helper()
			begun := time.Now()
			<-loop.Timer()
			if after := time.Since(begun); after != want {
				t.Errorf("fired after %v, want %v", after, want)
			}
		}
		loop.SetTimer(loop.Now() + 20_000)
		expectFireAfter(20 * time.Millisecond)
		loop.SetTimer(loop.Now() - 1)
		expectFireAfter(0)
		loop.SetTimer(loop.Now() + 20_000)
		loop.WakeWithin(5 * time.Millisecond)
		expectFireAfter(5 * time.Millisecond)
		loop.WakeWithin(time.Second)
		expectFireAfter(15 * time.Millisecond)
		if _, stalled := loop.Stalled(); stalled {
			t.Error("stalled though on time")
		}
		time.Sleep(duration(grace))
		if late, stalled := loop.Stalled(); !stalled || late != grace {
			t.Errorf("stalled %t, late by %d us", stalled, late)
		}
	})
}

// Endpoints are read when the list is not fresh, or when a read is required; the write deadline follows the last read.
func TestReadEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loop, _, _ := newTestLoop(t)
		reads := 0
		read := func() control.Micros {
			reads++
			return loop.Now()
		}
		for _, c := range []struct {
			wait     time.Duration
			required bool
			reads    int
		}{{0, false, 1}, {time.Millisecond, false, 1}, {time.Millisecond, true, 2}, {duration(grace) / 2, false, 3}, {time.Millisecond, false, 3}} {
			time.Sleep(c.wait)
			if c.required {
				loop.RequireEndpointsRead()
			}
			before := loop.EndpointsAsOf
			loop.ReadEndpoints(read)
			if reads != c.reads || loop.PreviousEndpointsAsOf != before {
				t.Errorf("after %v, required %t: %d reads, want %d; previous list as of %d, want %d", c.wait, c.required, reads, c.reads,
					loop.PreviousEndpointsAsOf, before)
			}
			if until := loop.WriteDeadline(); until <= loop.EndpointsAsOf || until >= loop.EndpointsAsOf+grace {
				t.Errorf("the write deadline is %d us after the read", until-loop.EndpointsAsOf)
			}
		}
	})
}

// A full update refreshes all pools, an incremental one those of the servers that it names.
func TestApplyUpdate(t *testing.T) {
	a, b, c := fleet.Endpoint{Address: "127.0.0.1:1", State: control.Ready}, fleet.Endpoint{Address: "127.0.0.1:2", State: control.Ready},
		fleet.Endpoint{Address: "127.0.0.1:3", State: control.Ready}
	drained := b
	drained.State = control.Draining
	loop, servers, core := newTestLoop(t)
	pools := map[control.ServerID]string{fleet.ID(a.Address): "a", fleet.ID(b.Address): "b"}
	for _, u := range []struct {
		name   string
		update fleet.Update
		want   []string
		ready  int
	}{
		{"full", fleet.Update{Full: true, Endpoints: []fleet.Endpoint{a, b, c}}, []string{"a", "b"}, 3},
		{"drains", fleet.Update{Endpoints: []fleet.Endpoint{drained}}, []string{"b"}, 2},
		{"without a pool", fleet.Update{Endpoints: []fleet.Endpoint{c}}, nil, 2},
	} {
		var refreshed []string
		ApplyUpdate(loop.Now(), u.update, servers, core, pools, func(pool string) { refreshed = append(refreshed, pool) })
		slices.Sort(refreshed)
		if _, ready := servers.Count(); !slices.Equal(refreshed, u.want) || ready != u.ready {
			t.Errorf("%s: refreshed %q, want %q; %d ready, want %d", u.name, refreshed, u.want, ready, u.ready)
		}
	}
}
