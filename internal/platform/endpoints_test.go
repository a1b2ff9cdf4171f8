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
	issued []*serverCall // the calls added by addCall
}

// addCall adds an open load command to a server, written or not, on a connection that is connected or not.
func (r *undialledRouter) addCall(now control.Micros, to control.ServerID, written, up bool) {
	if s := r.fleet.Get(to); s == nil || s.State != control.Ready {
		return
	}
	call := r.newCall(to, 1_000_000)
	call.load.Server, call.id = to, r.loadCommandID()
	pool := r.poolFor(to)
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
	call.timer = time.NewTimer(time.Hour) // never fires here
	if written {
		call.stage.Store(int32(attempt.Writing))
	}
	r.issued = append(r.issued, call)
}

// describeConns describes the connections per server in order of creation, except those for which dropped returns
// true.
func (r *undialledRouter) describeConns(dropped func(sc *serverConn) bool) []string {
	var out []string
	for id, pool := range r.pools {
		line, stay := fmt.Sprintf("%016x at %s started %d:", uint64(id), pool.address, pool.startedAt), 0
		for _, sc := range pool.conns {
			if !dropped(sc) {
				stay++
				line += fmt.Sprintf(" %d open, up %t, retired %t, since %d;", len(sc.open), sc.up, sc.retired, sc.idleSince)
			}
		}
		if s := r.fleet.Get(id); stay > 0 || s != nil && s.State != control.Removed {
			out = append(out, line)
		}
	}
	slices.Sort(out)
	return out
}

// describe describes the connections and the issued calls.
func (r *undialledRouter) describe() []string {
	out := r.describeConns(func(*serverConn) bool { return false })
	for _, call := range r.issued {
		out = append(out, fmt.Sprintf("%d %v %t", call.id, call.currentStage(), call.progress.Ended))
	}
	return append(out, fmt.Sprint(r.serverConnCount, " connections, ", len(r.pools), " pools"))
}

// checkPrune prunes, and checks that exactly those connections and pools are dropped that a scan of all of them
// selects.
func (r *undialledRouter) checkPrune(t *rapid.T, now control.Micros) {
	r.lastPrunedAt = 0
	want := r.describeConns(func(sc *serverConn) bool {
		return len(sc.open) == 0 && sc.up && now-sc.idleSince > r.config.serverIdleTimeout*3/4
	})
	r.prune(now)
	if got := r.describeConns(func(*serverConn) bool { return false }); !slices.Equal(got, want) || len(r.pools) != len(want) {
		t.Fatalf("after pruning\n%q, by a scan of all\n%q", got, want)
	}
}

// idleConns returns the connected connections without open calls, least recently used first.
func (r *undialledRouter) idleConns() []*serverConn {
	var out []*serverConn
	for _, pool := range r.pools {
		for _, sc := range pool.conns {
			if len(sc.open) == 0 && sc.up {
				out = append(out, sc)
			}
		}
	}
	slices.SortFunc(out, func(a, b *serverConn) int { return cmp.Compare(a.idleSince, b.idleSince) })
	return out
}

// checkCloseIdleConn closes an idle connection and checks that it is one of the least recently used.
func (r *undialledRouter) checkCloseIdleConn(t *rapid.T) {
	before := r.idleConns()
	freed := r.closeIdleServerConn()
	after := r.idleConns()
	if freed != (len(before) > 0) || freed && len(after) != len(before)-1 {
		t.Fatalf("freed %t, %d of %d are left", freed, len(after), len(before))
	}
	for _, sc := range before {
		if !slices.Contains(after, sc) && sc.idleSince != before[0].idleSince {
			t.Fatalf("dropped one idle since %d, not %d", sc.idleSince, before[0].idleSince)
		}
	}
}

// A router that handles incremental updates keeps and closes the same connections as one that gets a complete list at
// each event, and pruning drops what a scan of all connections would.
func TestIncrementalUpdatesCloseTheSameConnections(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		routers := []*undialledRouter{{Router: idleRouter(t)}, {Router: idleRouter(t)}}
		now := max(routers[0].loop.Now(), routers[1].loop.Now())
		var s discovery.State
		for rev := range uint64(rapid.IntRange(1, 40).Draw(rt, "steps")) {
			now += control.Micros(rapid.SampledFrom([]int{1000, 100_000, 600_000, 4_000_000, 620_000_000}).Draw(rt, "pause"))
			uid := func() string { return fmt.Sprint("s-", rapid.IntRange(0, 4).Draw(rt, "server")) }
			e := discovery.Event{Revision: rev + 1, Update: &discovery.UpdateMessage{All: rapid.IntRange(0, 9).Draw(rt, "all") == 0}}
			for range rapid.IntRange(0, 3).Draw(rt, "servers") {
				e.Update.Endpoints = append(e.Update.Endpoints, discovery.EndpointMessage{UID: uid(), Address: fmt.Sprintf("127.0.0.%d:80", rapid.IntRange(1, 3).Draw(rt, "address")),
					State: rapid.SampledFrom([]string{"ready", "ready", "draining", "gone"}).Draw(rt, "state"), StartedAtMS: int64(rapid.IntRange(0, 1).Draw(rt, "boot"))})
			}
			if _, err := s.Subscribe().Apply(e); err != nil {
				rt.Fatal(err)
			}
			routers[0].handleUpdate(now, s.Update())
			routers[1].handleEndpoints(now, s.Endpoints())
			for range rapid.IntRange(0, 3).Draw(rt, "sent") {
				to, written, up := fleet.ID(uid()), rapid.Bool().Draw(rt, "written"), rapid.Bool().Draw(rt, "up")
				for _, r := range routers {
					r.addCall(now, to, written, up)
				}
			}
			if n := len(routers[0].issued); n > 0 && rapid.Bool().Draw(rt, "answered") {
				i := rapid.IntRange(0, n-1).Draw(rt, "which")
				for _, r := range routers {
					r.callEnded(now, r.issued[i], control.Succeeded, nil)
				}
			}
			prune, free := rapid.Bool().Draw(rt, "prune"), rapid.IntRange(0, 4).Draw(rt, "free") == 0
			for _, r := range routers {
				if prune {
					r.checkPrune(rt, now)
				}
				if free {
					r.checkCloseIdleConn(rt)
				}
			}
			if x, y := routers[0].describe(), routers[1].describe(); !reflect.DeepEqual(x, y) {
				rt.Fatalf("from incremental updates\n%q, from full lists\n%q", x, y)
			}
		}
	})
}
