package core

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"hollymast/control"
	"hollymast/internal/discovery"
	"hollymast/internal/fleet"
)

// randomEndpoint draws one of six servers at one of four addresses, so that servers leave and return, and addresses are
// reused by other servers.
func randomEndpoint(t *rapid.T, now control.Micros) discovery.EndpointMessage {
	return discovery.EndpointMessage{UID: fmt.Sprint("s-", rapid.IntRange(0, 5).Draw(t, "uid")),
		Address: fmt.Sprintf("127.0.0.%d:80", rapid.IntRange(1, 4).Draw(t, "address")),
		Zone:    rapid.SampledFrom([]string{"", "east", "west"}).Draw(t, "zone"), Cell: rapid.IntRange(0, 1).Draw(t, "cell"),
		State:       rapid.SampledFrom([]string{"ready", "ready", "draining", "gone"}).Draw(t, "state"),
		Weight:      float64(rapid.IntRange(1, 2).Draw(t, "weight")),
		StartedAtMS: rapid.SampledFrom([]int64{0, 0, 1, int64(now) / 1000, int64(now)/1000 + 500}).Draw(t, "started at")}
}

// randomEvent applies a discovery event: the next one, a duplicate, or one after a gap that persists after
// resubscribing. It reports whether the list may have changed.
func randomEvent(t *rapid.T, now control.Micros, state *discovery.State) bool {
	endpoints := rapid.Custom(func(t *rapid.T) discovery.EndpointMessage { return randomEndpoint(t, now) })
	event := discovery.Event{Revision: state.Revision() + 1, Update: &discovery.UpdateMessage{
		All:       rapid.IntRange(0, 9).Draw(t, "all") == 0,
		Endpoints: rapid.SliceOfN(endpoints, 0, 3).Draw(t, "targets"),
	}}
	switch rapid.IntRange(0, 7).Draw(t, "order") {
	case 0:
		event.Revision--
	case 1:
		event.Revision++
	case 2:
		event.Update = nil
	}
	effect, err := state.Subscribe().Apply(event)
	if effect == discovery.Resubscribe {
		effect, err = state.Subscribe().Apply(event)
	}
	if err != nil {
		t.Fatal(err)
	}
	return effect == discovery.EndpointsChanged
}

// applyUpdate applies a full or an incremental update to a router's fleet and core.
func applyUpdate(now control.Micros, c *testCore, f *fleet.Fleet, update fleet.Update) {
	if update.Full {
		c.UpdateEndpoints(now, control.FullUpdate, f.FullUpdate(now, update.Endpoints))
		return
	}
	c.UpdateEndpoints(now, control.IncrementalUpdate, f.IncrementalUpdate(now, update.Endpoints))
}

// snapshotOf returns the state of a core without the information whether a removed server was on the last list, which
// affects no decision.
func snapshotOf(t *rapid.T, c *testCore) *Snapshot {
	s, err := c.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for i := range s.Balancer.Servers {
		s.Balancer.Servers[i].Listed = s.Balancer.Servers[i].Endpoint.State != control.Removed
	}
	return s
}

// A router that receives incremental updates has the same state and makes the same decisions as one that receives the
// full list at each event.
func TestIncrementalUpdatesEqualFullLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, next, deployment := control.Micros(10_000_000), control.RequestID(0), randomDeployment(t)
		var cores [2]*testCore
		fleets := [2]*fleet.Fleet{fleet.New(1_000_000), fleet.New(1_000_000)}
		sourceClock := rapid.Bool().Draw(t, "source clock")
		for i := range cores {
			cores[i] = newTestCore(control.New(now, 7, deployment))
			if sourceClock {
				fleets[i].UseSourceClock()
			}
		}
		var state discovery.State
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += control.Micros(rapid.IntRange(1, 300_000).Draw(t, "pause"))
			if rapid.IntRange(0, 19).Draw(t, "long pause") == 0 {
				now += 601_000_000 // removed servers are pruned
			}
			for range rapid.IntRange(0, 3).Draw(t, "events") {
				if randomEvent(t, now, &state) {
					applyUpdate(now, cores[0], fleets[0], state.Update())
					applyUpdate(now, cores[1], fleets[1], fleet.Update{Full: true, Endpoints: state.Endpoints()})
				}
			}
			addRandomTraffic(t, now, &next, cores[:]...)
			for i, c := range cores {
				c.Step(now)
				fleets[i].Prune(now, func(id control.ServerID) bool { return id == fleet.ID("s-0") && step%2 == 0 })
			}
			if x, y := cores[0].takeCalls(), cores[1].takeCalls(); !slices.Equal(x, y) {
				t.Fatalf("step %d: with incremental updates %q, with full lists %q", step, x, y)
			}
			if x, y := snapshotOf(t, cores[0]), snapshotOf(t, cores[1]); !reflect.DeepEqual(x, y) {
				t.Fatalf("step %d: with incremental updates %+v, with full lists %+v", step, x.Balancer.Servers, y.Balancer.Servers)
			}
			for _, f := range fleets {
				servers, ready := f.Count()
				count := func(readyOnly bool) int {
					return len(slices.DeleteFunc(f.Servers(), func(s *fleet.Server) bool { return readyOnly && s.State != control.Ready }))
				}
				if servers != count(false) || ready != count(true) {
					t.Fatalf("step %d: %d servers, %d of them ready: %+v", step, servers, ready, f.Servers())
				}
			}
			for uid := range 6 {
				id := fleet.ID(fmt.Sprint("s-", uid))
				if x, y := comparableServer(fleets[0].Get(id)), comparableServer(fleets[1].Get(id)); x != y {
					t.Fatalf("step %d: server %d with incremental updates %+v, with full lists %+v", step, uid, x, y)
				}
			}
		}
	})
}

// comparableServer returns the exported fields of a server.
func comparableServer(s *fleet.Server) fleet.Server {
	if s == nil {
		return fleet.Server{}
	}
	return fleet.Server{ID: s.ID, Address: s.Address, State: s.State, Zone: s.Zone, Cell: s.Cell, Endpoint: s.Endpoint}
}
