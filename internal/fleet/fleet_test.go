package fleet

import (
	"testing"

	"hollymast/control"
)

const second = 1_000_000

func endpoint(address string, startedAt int64) Endpoint {
	return Endpoint{Address: address, State: control.Ready, Weight: 1, StartedAt: startedAt}
}

// Listed start times are wall clock times; the router's time 0 is 1000 s on that clock.
func TestStartTimeIsConvertedToRouterTime(t *testing.T) {
	for name, c := range map[string]struct {
		first, then int64 // start time in the first list at 100 s and the next at 200 s; -1: not listed
		want        control.Micros
	}{
		"unknown and old":           {0, 0, 0},
		"as listed":                 {1050 * second, 1050 * second, 50 * second},
		"long before the router":    {5 * second, 5 * second, 1},
		"from a clock ahead":        {4600 * second, 4600 * second, 100 * second},
		"restarted":                 {1050 * second, 1150 * second, 150 * second},
		"restarted, clock set back": {1050 * second, 500 * second, 100 * second},
		"restarted, clock ahead":    {1050 * second, 4800 * second, 200 * second},
		"new, clock set back":       {-1, 500 * second, 100 * second},
		"new, without a start time": {-1, 0, 100 * second},
	} {
		f := New(1000 * second)
		var list []Endpoint
		if c.first >= 0 {
			list = append(list, endpoint("127.0.0.1:9", c.first))
		}
		f.FullUpdate(100*second, list)
		got := f.FullUpdate(200*second, []Endpoint{endpoint("127.0.0.1:9", c.then)})
		if got[0].StartedAt != c.want {
			t.Errorf("%s: got %d, want %d", name, got[0].StartedAt, c.want)
		}
	}
}

// A server that was off the list for a moment gets no slow start if its start time is unchanged; without a start time
// it may have restarted.
func TestReturningServer(t *testing.T) {
	for startedAt, want := range map[int64]control.Micros{1050 * second: 50 * second, 0: 200 * second} {
		f := New(1000 * second)
		list := []Endpoint{endpoint("127.0.0.1:9", startedAt)}
		f.FullUpdate(100*second, list)
		f.FullUpdate(200*second, nil)
		if s := f.Get(ID("127.0.0.1:9")); s.State != control.Removed {
			t.Errorf("got %+v, want it removed", s)
		}
		if got := f.FullUpdate(300*second, list); got[0].StartedAt != want {
			t.Errorf("started %d: got %d, want %d", startedAt, got[0].StartedAt, want)
		}
	}
}

func TestIDs(t *testing.T) {
	ids := map[control.ServerID]string{}
	for _, a := range []string{"127.0.0.1:80", "127.0.0.1:81", "127.0.0.2:80", "[::1]:80", "a.example:80", "b.example:80"} {
		if other, twice := ids[ID(a)]; twice {
			t.Errorf("%s and %s share an id", a, other)
		}
		ids[ID(a)] = a
	}
}

func TestPrune(t *testing.T) {
	f := New(0)
	f.FullUpdate(1, []Endpoint{endpoint("127.0.0.1:1", 0), endpoint("127.0.0.1:2", 0), endpoint("127.0.0.1:3", 0)})
	f.FullUpdate(2, []Endpoint{endpoint("127.0.0.1:3", 0)})
	keep := func(id control.ServerID) bool { return id == ID("127.0.0.1:2") }
	if f.Prune(60*second, keep); len(f.servers) != 3 {
		t.Error("deleted after a minute")
	}
	if f.Prune(3600*second, func(control.ServerID) bool { return true }); len(f.servers) != 3 {
		t.Error("deleted while it was in use")
	}
	if f.Prune(3600*second, keep); len(f.servers) != 2 || f.Get(ID("127.0.0.1:1")) != nil {
		t.Errorf("got %v", f.servers)
	}
}

// The retention of a removed server counts from the last list that it was on, whenever it was removed, also if it
// returned and was removed again. Afterwards no record of its removals is left.
func TestPruneCountsFromLastListing(t *testing.T) {
	const name = "127.0.0.1:1"
	keep := func(control.ServerID) bool { return false }
	f := New(0)
	f.FullUpdate(1, []Endpoint{endpoint(name, 0), endpoint("127.0.0.1:2", 0)})
	f.IncrementalUpdate(500*second, []Endpoint{endpoint("127.0.0.1:2", 1)})
	f.IncrementalUpdate(900*second, []Endpoint{{Address: name, State: control.Removed}})
	f.IncrementalUpdate(1000*second, []Endpoint{endpoint(name, 0)})
	f.IncrementalUpdate(1050*second, []Endpoint{{Address: name, State: control.Removed}})
	if f.Prune(1600*second, keep); f.Get(ID(name)) == nil {
		t.Error("deleted too early")
	}
	if f.Prune(1601*second, keep); f.Get(ID(name)) != nil || len(f.removed) > 0 {
		t.Errorf("not deleted: %v", f.removed)
	}
	if f.Get(ID("127.0.0.1:2")) == nil {
		t.Error("a listed server was deleted")
	}
}

// A server that is added while this router runs started after the list was last complete without it and no later than
// now, whatever start time is listed. The list was complete at 190 s, the change is received at 200 s, and slow start
// takes 16 s.
func TestStartTimeIsBoundedByCompleteList(t *testing.T) {
	for name, c := range map[string]struct {
		listed   int64
		complete control.Micros // 0: never since the router started
		want     control.Micros
	}{
		"as listed":                        {1195 * second, 190 * second, 195 * second},
		"an hour ago":                      {1200*second - 3600*second, 190 * second, 190 * second},
		"in an hour":                       {1200*second + 3600*second, 190 * second, 200 * second},
		"listed some time after its start": {1189*second + 1, 190 * second, 189*second + 1},
		"some seconds too early":           {1187 * second, 190 * second, 190 * second},
		"discovery was down for long":      {1150 * second, 120 * second, 150 * second},
		"down, and an hour ago":            {1200*second - 3600*second, 120 * second, 120 * second},
		"no complete list since the start": {1050 * second, 0, 50 * second},
		"none, and in an hour":             {1200*second + 3600*second, 0, 200 * second},
	} {
		for _, restarted := range []bool{false, true} {
			f := New(1000 * second)
			f.UseSourceClock()
			f.SetSlowStartDuration(16 * second)
			var list []Endpoint
			if restarted {
				list = append(list, endpoint("127.0.0.1:9", 5*second))
			}
			f.FullUpdate(10*second, list)
			f.SetCompleteAsOf(c.complete)
			f.FullUpdate(199*second, append(list, endpoint("127.0.0.1:8", 0))) // receiving an update does not make the list complete
			if got := f.FullUpdate(200*second, []Endpoint{endpoint("127.0.0.1:9", c.listed)}); got[0].StartedAt != c.want {
				t.Errorf("%s, restarted %t: got %d, want %d", name, restarted, got[0].StartedAt, c.want)
			}
		}
	}
}

// An incarnation of a server started after the previous one, even if the clock of the listed start times was set back
// in between.
func TestLaterIncarnationStartedLater(t *testing.T) {
	f := New(1000 * second)
	f.UseSourceClock()
	f.FullUpdate(10*second, nil)
	f.SetCompleteAsOf(10 * second)
	first := f.FullUpdate(20*second, []Endpoint{endpoint("127.0.0.1:9", 4600*second)})
	if then := f.FullUpdate(21*second, []Endpoint{endpoint("127.0.0.1:9", 1015*second)}); then[0].StartedAt <= first[0].StartedAt {
		t.Errorf("started %d, its previous incarnation %d", then[0].StartedAt, first[0].StartedAt)
	}
}

// SameSince moves forward when another process may have the server's address: with a later start, in another zone or cell, or at another
// address under its name.
func TestSameSince(t *testing.T) {
	const name = "s-1"
	base := Endpoint{Name: name, Address: "127.0.0.1:1", State: control.Ready, Zone: "east", Cell: "c1"}
	change := func(set func(e *Endpoint)) Endpoint {
		e := base
		set(&e)
		return e
	}
	for what, c := range map[string]struct {
		next Endpoint
		want control.Micros
	}{
		"the same":          {base, 100},
		"draining":          {change(func(e *Endpoint) { e.State = control.Draining }), 100},
		"another weight":    {change(func(e *Endpoint) { e.Weight = 2 }), 100},
		"another zone":      {change(func(e *Endpoint) { e.Zone = "west" }), 300},
		"another cell":      {change(func(e *Endpoint) { e.Cell = "c2" }), 300},
		"another address":   {change(func(e *Endpoint) { e.Address = "127.0.0.1:2" }), 300},
		"started later":     {change(func(e *Endpoint) { e.StartedAt = 250 }), 250},
		"started and moved": {change(func(e *Endpoint) { e.StartedAt, e.Cell = 250, "c2" }), 300},
	} {
		for _, full := range []bool{false, true} {
			f := New(0)
			f.FullUpdate(100, []Endpoint{base})
			f.FullUpdate(200, []Endpoint{base})
			if full {
				f.FullUpdate(300, []Endpoint{c.next})
			} else {
				f.IncrementalUpdate(300, []Endpoint{c.next})
			}
			if got := f.Get(ID(name)).SameSince(); got != c.want {
				t.Errorf("%s, full update %t: %d, want %d", what, full, got, c.want)
			}
		}
	}
}
