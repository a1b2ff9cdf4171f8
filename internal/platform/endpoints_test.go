package platform

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/discovery"
	"hollymast/internal/fleet"
)

// undialledRouter is a router whose server connections are never dialled.
type undialledRouter struct {
	*Router
	issued []*serverCall
}

// addCall puts a load command in flight to a server, written or not, on a connection that is connected or not yet.
func (r *undialledRouter) addCall(now control.Micros, to control.ServerID, written, up bool) {
	if s := r.fleet.Get(to); s == nil || s.State != control.Ready {
		return
	}
	call := r.newCall(to, 1_000_000)
	call.load.Server, call.id = to, r.loadCommandID()
	pool := r.poolOf(to)
	for _, sc := range pool.conns {
		if !sc.retired && len(sc.open) == 0 {
			call.conn = sc
		}
	}
	if call.conn == nil {
		call.conn = r.newServerConn(now, pool)
		call.conn.up = written || up
	}
	call.conn.open[call.id] = call
	call.timer = time.NewTimer(time.Hour) // which ends nothing here
	if written {
		call.stage.Store(int32(attempt.Writing))
	}
	r.issued = append(r.issued, call)
}

// describeConns describes each connection, by server and in order of creation, except those that are dropped.
func (r *undialledRouter) describeConns(dropped func(l *serverConn) bool) []string {
	var out []string
	for id, pool := range r.pools {
		line, stay := fmt.Sprintf("%016x at %s started %d:", uint64(id), pool.address, pool.startedAt), 0
		for _, l := range pool.conns {
			if !dropped(l) {
				stay++
				line += fmt.Sprintf(" %d open, up %t, retired %t, since %d;", len(l.open), l.up, l.retired, l.idleSince)
			}
		}
		if s := r.fleet.Get(id); stay > 0 || s != nil && s.State != control.Removed {
			out = append(out, line)
		}
	}
	slices.Sort(out)
	return out
}

// describe describes the connections and calls.
func (r *undialledRouter) describe() []string {
	out := r.describeConns(func(*serverConn) bool { return false })
	for _, call := range r.issued {
		out = append(out, fmt.Sprintf("%d %v %t", call.id, call.currentStage(), call.progress.Ended))
	}
	return append(out, fmt.Sprint(r.serverConnCount, " connections, ", len(r.pools), " pools"))
}

// checkPrune prunes, and checks that just those connections and pools are dropped that a scan of all finds.
func (r *undialledRouter) checkPrune(t *rapid.T, now control.Micros) {
	r.prunedAt = 0
	want := r.describeConns(func(l *serverConn) bool {
		return len(l.open) == 0 && l.up && now-l.idleSince > r.config.serverIdleTimeout*3/4
	})
	r.prune(now)
	if got := r.describeConns(func(*serverConn) bool { return false }); !slices.Equal(got, want) || len(r.pools) != len(want) {
		t.Fatalf("pruned to\n%q, a scan of all gives\n%q", got, want)
	}
}

// idleConns returns the connected connections with nothing open, the least recently used first.
func (r *undialledRouter) idleConns() []*serverConn {
	var out []*serverConn
	for _, pool := range r.pools {
		for _, l := range pool.conns {
			if len(l.open) == 0 && l.up {
				out = append(out, l)
			}
		}
	}
	slices.SortFunc(out, func(a, b *serverConn) int { return cmp.Compare(a.idleSince, b.idleSince) })
	return out
}

// checkCloseIdle closes an idle connection, and checks that it is one of the least recently used.
func (r *undialledRouter) checkCloseIdle(t *rapid.T) {
	before := r.idleConns()
	freed := r.closeIdleServerConn()
	after := r.idleConns()
	if freed != (len(before) > 0) || freed && len(after) != len(before)-1 {
		t.Fatalf("freed %t, %d of %d are left", freed, len(after), len(before))
	}
	for _, l := range before {
		if !slices.Contains(after, l) && l.idleSince != before[0].idleSince {
			t.Fatalf("dropped one idle since %d, not %d", l.idleSince, before[0].idleSince)
		}
	}
}

// A router that handles incremental updates keeps and closes the connections that one does that handles a complete
// list at each event, and prunes what a scan of all would.
func TestIncrementalUpdatesCloseTheSameConnections(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		both := []*undialledRouter{{Router: idleRouter(t)}, {Router: idleRouter(t)}}
		now := max(both[0].loop.Now(), both[1].loop.Now())
		var s discovery.State
		for rev := range uint64(rapid.IntRange(1, 40).Draw(rt, "steps")) {
			now += control.Micros(rapid.SampledFrom([]int{1000, 100_000, 600_000, 4_000_000, 620_000_000}).Draw(rt, "pause"))
			uid := func() string { return fmt.Sprint("s-", rapid.IntRange(0, 4).Draw(rt, "server")) }
			e := discovery.Event{Revision: rev + 1, Update: &discovery.UpdateMessage{All: rapid.IntRange(0, 9).Draw(rt, "all") == 0}}
			for range rapid.IntRange(0, 3).Draw(rt, "servers") {
				e.Update.Endpoints = append(e.Update.Endpoints, discovery.EndpointMessage{UID: uid(), Address: fmt.Sprintf("127.0.0.%d:80", rapid.IntRange(1, 3).Draw(rt, "address")),
					State: rapid.SampledFrom([]string{"ready", "ready", "draining", "gone"}).Draw(rt, "state"), StartedAtMS: int64(rapid.IntRange(0, 1).Draw(rt, "boot"))})
			}
			if _, err := s.Apply(e); err != nil {
				rt.Fatal(err)
			}
			both[0].handleUpdate(now, s.Update())
			both[1].handleEndpoints(now, s.Endpoints())
			for range rapid.IntRange(0, 3).Draw(rt, "sent") {
				to, written, up := fleet.ID(uid()), rapid.Bool().Draw(rt, "written"), rapid.Bool().Draw(rt, "up")
				for _, r := range both {
					r.addCall(now, to, written, up)
				}
			}
			if n := len(both[0].issued); n > 0 && rapid.Bool().Draw(rt, "answered") {
				i := rapid.IntRange(0, n-1).Draw(rt, "which")
				for _, r := range both {
					r.callEnded(now, r.issued[i], control.Succeeded, nil)
				}
			}
			prune, free := rapid.Bool().Draw(rt, "prune"), rapid.IntRange(0, 4).Draw(rt, "free") == 0
			for _, r := range both {
				if prune {
					r.checkPrune(rt, now)
				}
				if free {
					r.checkCloseIdle(rt)
				}
			}
			if x, y := both[0].describe(), both[1].describe(); !reflect.DeepEqual(x, y) {
				rt.Fatalf("by changes\n%q, by lists\n%q", x, y)
			}
		}
	})
}
