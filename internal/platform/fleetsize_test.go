package platform

import (
	"fmt"
	"testing"

	"hollymast/control"
	"hollymast/internal/discovery"
	"hollymast/internal/fleet"
	"hollymast/internal/platformtest"
)

// fleetRouter is a router that knows many servers and runs no event loop.
type fleetRouter struct {
	*Router
	discoveryState discovery.State
	revision       uint64
	clock          control.Micros
}

// newFleetRouter returns a fleetRouter that has a connection pool for each server.
func newFleetRouter(b testing.TB, servers int) *fleetRouter {
	b.Helper()
	r := idleRouter(b)
	f := &fleetRouter{Router: r, clock: r.loop.Now()}
	all := &discovery.UpdateMessage{All: true}
	for i := range servers {
		all.Endpoints = append(all.Endpoints, f.endpointMessage(i, "ready"))
	}
	f.handleEvent(b, all)
	for i := range servers {
		r.poolFor(fleet.ID(f.endpointMessage(i, "").UID))
	}
	return f
}

func (f *fleetRouter) endpointMessage(i int, state string) discovery.EndpointMessage {
	return discovery.EndpointMessage{UID: fmt.Sprintf("s-%d", i), Address: fmt.Sprintf("127.%d.%d.1:80", i/256, i%256), Zone: "east", Cell: i % 4, State: state,
		Weight: 4, StartedAtMS: int64(f.revision)}
}

// handleEvent makes the router handle an event in one step, one millisecond after the previous one.
func (f *fleetRouter) handleEvent(b testing.TB, update *discovery.UpdateMessage) {
	f.revision++
	effect, err := f.discoveryState.Subscribe().HandleLine(platformtest.EncodeEvent(discovery.Event{Revision: f.revision, Update: update}))
	if err != nil || effect != discovery.EndpointsChanged {
		b.Fatal(effect, err)
	}
	f.handleUpdate(f.clock, f.discoveryState.Update())
	f.clock += 1000
	f.step(f.clock, nil)
}

// serverStates are the states that a server goes through repeatedly.
var serverStates = []string{"draining", "gone", "ready"}

// advanceServer moves one server to its next state. n counts the calls.
func (f *fleetRouter) advanceServer(b testing.TB, n, servers int) {
	f.handleEvent(b, &discovery.UpdateMessage{Endpoints: []discovery.EndpointMessage{f.endpointMessage(n/len(serverStates)%servers, serverStates[n%len(serverStates)])}})
}

// Handling an event about one server allocates no more in a large fleet than in a small one.
func TestUpdateAllocationsDoNotGrowWithFleet(t *testing.T) {
	var allocated [2]float64
	for i, servers := range []int{200, 3200} {
		f, n := newFleetRouter(t, servers), 0
		allocated[i] = testing.AllocsPerRun(300, func() {
			f.advanceServer(t, n, servers)
			n++
		})
	}
	if allocated[1] > 1.2*allocated[0] {
		t.Errorf("%v allocations among 200 servers, %v among 3200", allocated[0], allocated[1])
	}
}

// BenchmarkFleetSize shows which costs grow with the number of servers: update is an event about one server, handled
// through all layers in one step; maintenance is a step with nothing but the maintenance that is due every half
// second.
func BenchmarkFleetSize(b *testing.B) {
	for _, servers := range []int{200, 3200} {
		b.Run(fmt.Sprintf("update/servers=%d", servers), func(b *testing.B) {
			f := newFleetRouter(b, servers)
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				f.advanceServer(b, n, servers)
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
