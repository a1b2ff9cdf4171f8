package platform

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/board"
	"hollymast/internal/fleet"
)

// replaced is a router whose connections to servers are never dialled.
type replaced struct {
	*Platform
	sent []*sending
}

// open has an order on its way to a server, written or not.
func (r *replaced) open(now control.Micros, to control.ServerID, written bool) {
	if s := r.fleet.Get(to); s == nil || s.State != control.Ready {
		return
	}
	s := r.sending(to, 1_000_000)
	s.order.Server, s.id = to, r.orderID()
	pl := r.poolOf(to)
	for _, l := range pl.links {
		if !l.retired && len(l.out) == 0 {
			s.link = l
		}
	}
	if s.link == nil {
		s.link = r.newLink(now, pl)
		s.link.up = true
	}
	s.link.out[s.id] = s
	s.timer = r.timer // which ends nothing here
	if written {
		s.stage.Store(int32(attempt.Writing))
	}
	r.sent = append(r.sent, s)
}

// pooled tells of each connection, in the order of servers and of their beginnings.
func (r *replaced) pooled() []string {
	var out []string
	for id, pl := range r.pools {
		line := fmt.Sprintf("%016x at %s born %d:", uint64(id), pl.address, pl.born)
		for _, l := range pl.links {
			line += fmt.Sprintf(" %d open, retired %t, since %d;", len(l.out), l.retired, l.since)
		}
		out = append(out, line)
	}
	slices.Sort(out)
	for _, s := range r.sent {
		out = append(out, fmt.Sprintf("%d %v %t", s.id, s.reached(), s.state.Over))
	}
	return append(out, fmt.Sprint(r.linked, " connections"))
}

// A router that hears what changed keeps and ends the connections that one does that hears the complete list at each event.
func TestChangesEndTheSameConnections(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		both := []*replaced{{Platform: idlePlatform(t)}, {Platform: idlePlatform(t)}}
		now := max(both[0].now(), both[1].now())
		var s board.State
		for rev := range uint64(rapid.IntRange(1, 40).Draw(rt, "steps")) {
			now += control.Micros(rapid.SampledFrom([]int{1000, 100_000, 600_000, 4_000_000, 620_000_000}).Draw(rt, "pause"))
			uid := func() string { return fmt.Sprint("s-", rapid.IntRange(0, 4).Draw(rt, "server")) }
			e := board.Event{Rev: rev + 1, Pool: &board.Pool{All: rapid.IntRange(0, 9).Draw(rt, "all") == 0}}
			for range rapid.IntRange(0, 3).Draw(rt, "servers") {
				e.Pool.Targets = append(e.Pool.Targets, board.Target{UID: uid(), Endpoint: fmt.Sprintf("127.0.0.%d:80", rapid.IntRange(1, 3).Draw(rt, "address")),
					State: rapid.SampledFrom([]string{"ready", "ready", "draining", "gone"}).Draw(rt, "state"), BootMS: int64(rapid.IntRange(0, 1).Draw(rt, "boot"))})
			}
			if _, err := s.Event(e); err != nil {
				rt.Fatal(err)
			}
			both[0].hearBoard(now, s.News())
			both[1].listed(now, s.List())
			for range rapid.IntRange(0, 3).Draw(rt, "sent") {
				to, written := fleet.ID(uid()), rapid.Bool().Draw(rt, "written")
				for _, r := range both {
					r.open(now, to, written)
				}
			}
			if n := len(both[0].sent); n > 0 && rapid.Bool().Draw(rt, "answered") {
				i := rapid.IntRange(0, n-1).Draw(rt, "which")
				for _, r := range both {
					r.ended(now, r.sent[i], control.Finished, nil)
				}
			}
			for _, r := range both {
				r.prune(now)
			}
			if x, y := both[0].pooled(), both[1].pooled(); !reflect.DeepEqual(x, y) {
				rt.Fatalf("by changes\n%q, by lists\n%q", x, y)
			}
		}
	})
}
