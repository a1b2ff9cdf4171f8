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

// anyTarget is one of a few servers, at one of fewer addresses, so that both return and change hands.
func anyTarget(t *rapid.T, now control.Micros) discovery.EndpointMessage {
	return discovery.EndpointMessage{UID: fmt.Sprint("s-", rapid.IntRange(0, 5).Draw(t, "uid")), Endpoint: fmt.Sprintf("127.0.0.%d:80", rapid.IntRange(1, 4).Draw(t, "address")),
		Zone: rapid.SampledFrom([]string{"", "east", "west"}).Draw(t, "zone"), Cell: rapid.IntRange(0, 1).Draw(t, "cell"),
		State: rapid.SampledFrom([]string{"ready", "ready", "draining", "gone"}).Draw(t, "state"), Weight: float64(rapid.IntRange(1, 2).Draw(t, "power")),
		StartedAtMS: rapid.SampledFrom([]int64{0, 0, 1, int64(now) / 1000, int64(now)/1000 + 500}).Draw(t, "boot")}
}

// anyNews has a board tell an event, and tells whether the list counts as heard anew: one in order, one that is told twice, or
// one after a gap, which is asked for and stays.
func anyNews(t *rapid.T, now control.Micros, s *discovery.State) bool {
	e := discovery.Event{Revision: s.Revision() + 1, Update: &discovery.UpdateMessage{All: rapid.IntRange(0, 9).Draw(t, "all") == 0,
		Targets: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) discovery.EndpointMessage { return anyTarget(t, now) }), 0, 3).Draw(t, "targets")}}
	switch rapid.IntRange(0, 7).Draw(t, "order") {
	case 0:
		e.Revision--
	case 1:
		e.Revision++
	case 2:
		e.Update = nil
	}
	s.Subscribed()
	meaning, err := s.Apply(e)
	if meaning == discovery.Resubscribe {
		s.Subscribed()
		meaning, err = s.Apply(e)
	}
	if err != nil {
		t.Fatal(err)
	}
	return meaning == discovery.EndpointsChanged
}

// hear has a router take in what differs, whole where it is told whole.
func hear(now control.Micros, c *driven, f *fleet.Fleet, news fleet.Update) {
	if news.Full {
		c.UpdateEndpoints(now, control.FullUpdate, f.FullUpdate(now, news.Endpoints))
		return
	}
	c.UpdateEndpoints(now, control.IncrementalUpdate, f.IncrementalUpdate(now, news.Endpoints))
}

// known is what a router believes. Whether a server that is gone was named by the last list changes no decision.
func known(t *rapid.T, c *driven) *Snapshot {
	s, err := c.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for i := range s.Balancer.Servers {
		s.Balancer.Servers[i].Listed = s.Balancer.Servers[i].Endpoint.State != control.Removed
	}
	return s
}

// A router that hears what changed believes and decides what one does that hears the complete list at each event.
func TestChangesAreAsCompleteLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, next, told := control.Micros(10_000_000), control.RequestID(0), anyDeployment(t)
		var both [2]*driven
		fleets := [2]*fleet.Fleet{fleet.New(1_000_000), fleet.New(1_000_000)}
		oneClock := rapid.Bool().Draw(t, "one clock")
		for i := range both {
			both[i] = &driven{}
			both[i].Core = New(control.New(now, 7, told), both[i])
			if oneClock {
				fleets[i].UseSourceClock()
			}
		}
		var s discovery.State
		for turn := range rapid.IntRange(1, 60).Draw(t, "turns") {
			now += control.Micros(rapid.IntRange(1, 300_000).Draw(t, "pause"))
			if rapid.IntRange(0, 19).Draw(t, "long pause") == 0 {
				now += 601_000_000 // what is gone is forgotten
			}
			for range rapid.IntRange(0, 3).Draw(t, "events") {
				if anyNews(t, now, &s) {
					hear(now, both[0], fleets[0], s.Update())
					hear(now, both[1], fleets[1], fleet.Update{Full: true, Endpoints: s.Endpoints()})
				}
			}
			traffic(t, now, &next, both[:]...)
			for i, d := range both {
				d.Step(now)
				fleets[i].Prune(now, func(id control.ServerID) bool { return id == fleet.ID("s-0") && turn%2 == 0 })
			}
			if x, y := both[0].taken(), both[1].taken(); !slices.Equal(x, y) {
				t.Fatalf("turn %d: by changes %q, by lists %q", turn, x, y)
			}
			if x, y := known(t, both[0]), known(t, both[1]); !reflect.DeepEqual(x, y) {
				t.Fatalf("turn %d: by changes %+v, by lists %+v", turn, x.Balancer.Servers, y.Balancer.Servers)
			}
			for _, f := range fleets {
				servers, ready := f.Count()
				of := func(only bool) int {
					return len(slices.DeleteFunc(f.Servers(), func(s *fleet.Server) bool { return only && s.State != control.Ready }))
				}
				if servers != of(false) || ready != of(true) {
					t.Fatalf("turn %d: %d servers, %d of them ready: %+v", turn, servers, ready, f.Servers())
				}
			}
			for uid := range 6 {
				id := fleet.ID(fmt.Sprint("s-", uid))
				if x, y := plain(fleets[0].Get(id)), plain(fleets[1].Get(id)); x != y {
					t.Fatalf("turn %d: server %d by changes %+v, by lists %+v", turn, uid, x, y)
				}
			}
		}
	})
}

// plain is what a fleet tells of a server.
func plain(s *fleet.Server) fleet.Server {
	if s == nil {
		return fleet.Server{}
	}
	return fleet.Server{ID: s.ID, Address: s.Address, State: s.State, Zone: s.Zone, Cell: s.Cell, Endpoint: s.Endpoint}
}
