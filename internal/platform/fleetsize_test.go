package platform

import (
	"fmt"
	"testing"

	"hollymast/control"
	"hollymast/internal/discovery"
	"hollymast/internal/fleet"
	"hollymast/internal/platformtest"
)

// sized is a router that knows many servers and runs no event loop.
type fleetRouter struct {
	*Router
	discoveryState discovery.State
	revision       uint64
	clock          control.Micros
}

// newSized returns one that has a pool of connections to each server.
func newFleetRouter(b testing.TB, servers int) *fleetRouter {
	b.Helper()
	r := idleRouter(b)
	f := &fleetRouter{Router: r, clock: r.loop.Now()}
	all := &discovery.UpdateMessage{All: true}
	for i := range servers {
		all.Endpoints = append(all.Endpoints, f.target(i, "ready"))
	}
	f.handle(b, all)
	for i := range servers {
		r.poolOf(fleet.ID(f.target(i, "").UID))
	}
	return f
}

func (f *fleetRouter) target(i int, state string) discovery.EndpointMessage {
	return discovery.EndpointMessage{UID: fmt.Sprintf("s-%d", i), Address: fmt.Sprintf("127.%d.%d.1:80", i/256, i%256), Zone: "east", Cell: i % 4, State: state,
		Weight: 4, StartedAtMS: int64(f.revision)}
}

// handle lets the router handle an event in one step, one millisecond after the last.
func (f *fleetRouter) handle(b testing.TB, update *discovery.UpdateMessage) {
	f.revision++
	effect, err := f.discoveryState.HandleLine(platformtest.EncodeEvent(discovery.Event{Revision: f.revision, Update: update}))
	if err != nil || effect != discovery.EndpointsChanged {
		b.Fatal(effect, err)
	}
	f.handleUpdate(f.clock, f.discoveryState.Update())
	f.clock += 1000
	f.step(f.clock, nil)
}

// states are what a server goes through in the benchmark, over and over.
var serverStates = []string{"draining", "gone", "ready"}

// change moves one server on to its next state.
func (f *fleetRouter) change(b testing.TB, n, servers int) {
	f.handle(b, &discovery.UpdateMessage{Endpoints: []discovery.EndpointMessage{f.target(n/len(serverStates)%servers, serverStates[n%len(serverStates)])}})
}

// An event about one server allocates no more among many servers than among a few.
func TestUpdateAllocationsDoNotGrowWithFleet(t *testing.T) {
	var allocated [2]float64
	for i, servers := range []int{200, 3200} {
		f, n := newFleetRouter(t, servers), 0
		allocated[i] = testing.AllocsPerRun(300, func() {
			f.change(t, n, servers)
			n++
		})
	}
	if allocated[1] > 1.2*allocated[0] {
		t.Errorf("%v allocations among 200 servers, %v among 3200", allocated[0], allocated[1])
	}
}

// BenchmarkFleetSize shows which costs grow with the number of servers: update is an event about one server through all
// layers and one step; maintenance is a step with nothing but the maintenance due each half second.
func BenchmarkFleetSize(b *testing.B) {
	for _, servers := range []int{200, 3200} {
		b.Run(fmt.Sprintf("update/servers=%d", servers), func(b *testing.B) {
			f := newFleetRouter(b, servers)
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				f.change(b, n, servers)
			}
		})
		b.Run(fmt.Sprintf("maintenance/servers=%d", servers), func(b *testing.B) {
			f := newFleetRouter(b, servers)
			b.ReportAllocs()
			for b.Loop() {
				f.clock += 500_000
				f.step(f.clock, nil)
			}
		})
	}
}
