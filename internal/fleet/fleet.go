// Package fleet turns lists of servers, as a source tells them, into the module's words. It is free of I/O and clocks.
//
// What it decides is how old a server is. Lists carry the time of a server's start by some other machine's wall clock;
// the router's time only goes forward. A clock set back or forward must make no server look older than it can be, since
// a cold one would then be sent more than it bears (rule 4).
package fleet

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hollymast/control"
)

// Entry is one server as a list tells it.
type Entry struct {
	Name    string // where the list names servers apart from their addresses, which others may get; else empty
	Address string
	State   control.ServerState
	Zone    string
	Cell    string
	Power   float64
	Born    int64 // wall clock, microseconds since 1970; 0: long ago
}

// Server is what the fleet keeps of a server.
type Server struct {
	ID      control.ServerID
	Address string
	State   control.ServerState
	Zone    control.ZoneID
	Cell    control.CellID
	Told    Entry          // as the list told it last
	told    int64          // the start as the list told it
	born    control.Micros // brought into the router's time
	left    control.Micros // when it was last on a list
	list    uint64         // the last complete list that named it
}

// Update is what a source tells at a time: the complete list, or only what differs from what it told before.
type Update struct {
	Whole   bool
	Entries []Entry // of changes: each server at most once, those that left in state Gone
}

// departure is that of a server from the list.
type departure struct {
	id control.ServerID
	at control.Micros // when it was last on it
}

// Fleet is the list as last told.
type Fleet struct {
	offset int64 // wall clock at the router's time 0, fixed at the start
	read   control.Micros
	first  bool
	ours   bool
	lists  uint64 // complete ones so far
	// complete is the last time of which it is known that nothing its source had told by then is missing; 0: none is known.
	complete control.Micros
	slow     control.Micros // how long slow start takes
	servers  map[control.ServerID]*Server
	gone     []departure                 // in the order of their ends
	counts   map[control.ServerState]int // of servers on the list
	zones    map[string]control.ZoneID
	cells    map[string]control.CellID
}

// New gives an empty fleet. Offset is the wall clock (microseconds since 1970) at the router's time 0: read once, so
// that setting the clock later changes nothing.
func New(offset int64) *Fleet {
	return &Fleet{offset: offset, first: true, servers: map[control.ServerID]*Server{}, counts: map[control.ServerState]int{},
		zones: map[string]control.ZoneID{}, cells: map[string]control.CellID{}}
}

// OneClock is for lists made by the clock that the router's own time was read from, on which a server whose start is not told
// has run for long, whenever it is first listed.
func (f *Fleet) OneClock() { f.ours = true }

// SlowStart tells how long a server's slow start takes.
func (f *Fleet) SlowStart(span control.Micros) { f.slow = span }

// Complete tells as of when the list was complete that was taken in last: nothing told by then is missing. Call it after the
// lists that were told by then.
func (f *Fleet) Complete(asOf control.Micros) { f.complete = max(f.complete, asOf) }

// ID gives a server's id: the same in every router, since all share one order of servers.
func ID(address string) control.ServerID {
	if a, err := netip.ParseAddrPort(address); err == nil && a.Addr().Is4() {
		b := a.Addr().As4()
		return control.ServerID(b[0])<<40 | control.ServerID(b[1])<<32 | control.ServerID(b[2])<<24 |
			control.ServerID(b[3])<<16 | control.ServerID(a.Port())
	}
	return control.ServerID(xxhash.Sum64String(address) | 1<<63) // no IPv4 address has the top bit
}

// Zone gives a zone's id; the empty name is zone 0.
func (f *Fleet) Zone(name string) control.ZoneID { return intern(f.zones, name) }

func intern[T ~uint16](ids map[string]T, name string) T {
	if name == "" {
		return 0
	}
	id, ok := ids[name]
	if !ok {
		id = T(len(ids) + 1)
		ids[name] = id
	}
	return id
}

// Get gives a server by id; nil where no list named it.
func (f *Fleet) Get(id control.ServerID) *Server { return f.servers[id] }

// Whole takes in a whole list, heard at a time, and gives it in the module's words, by ascending id. A server that it
// leaves out is gone; it is kept as such, so that its return is known for a restart, until Forget.
func (f *Fleet) Whole(now control.Micros, list []Entry) []control.Listing {
	f.lists++
	out := f.take(now, list)
	for _, s := range f.servers {
		if s.list != f.lists {
			f.leave(s)
		}
	}
	f.read, f.first = now, false
	return out
}

// Changes takes in what differs from what was heard last, and gives it in the module's words, by ascending id: all is then as if
// the complete list had come. A server that leaves is handed on as it was, but gone.
func (f *Fleet) Changes(now control.Micros, changed []Entry) []control.Listing {
	out := f.take(now, changed)
	f.read, f.first = now, false
	return out
}

// leave notes that a server is on the list no more.
func (f *Fleet) leave(s *Server) {
	if s.State != control.Gone {
		f.counts[s.State]--
		s.State, s.left = control.Gone, f.read
		f.gone = append(f.gone, departure{s.ID, s.left})
	}
}

// take takes in what a list tells of the servers that it names.
func (f *Fleet) take(now control.Micros, list []Entry) []control.Listing {
	out := make([]control.Listing, 0, len(list))
	for _, e := range list {
		id := ID(cmp.Or(e.Name, e.Address))
		s := f.servers[id]
		if e.State == control.Gone {
			if s != nil && s.State != control.Gone {
				f.leave(s)
				out = append(out, s.listing())
			}
			continue
		}
		if s != nil && s.State != control.Gone {
			f.counts[s.State]--
		}
		f.counts[e.State]++
		// With no start told, a server that was gone may have restarted meanwhile.
		fresh := s == nil || s.told != e.Born || s.State == control.Gone && e.Born == 0
		if s == nil {
			s = &Server{ID: id, Address: e.Address}
			f.servers[id] = s
		}
		if fresh {
			s.told, s.born = e.Born, f.born(now, e.Born, s.born)
		}
		s.Told, s.Address = e, e.Address
		s.State, s.Zone, s.Cell, s.left = e.State, f.Zone(e.Zone), intern(f.cells, e.Cell), now
		s.list = f.lists
		out = append(out, s.listing())
	}
	slices.SortFunc(out, func(a, b control.Listing) int { return cmp.Compare(a.Server, b.Server) })
	return out
}

// listing gives a server in the module's words.
func (s *Server) listing() control.Listing {
	return control.Listing{Server: s.ID, State: s.State, Zone: s.Zone, Cell: s.Cell, Power: s.Told.Power, Born: s.born}
}

// announced is the part of slow start that may pass between a server's start and its first listing, at the most: sources tell
// a server once it was found ready. A clock that is off by less makes a server look this much older: with a quarter of the
// capacity at first the budget is then a fifth too large, which the module's margin covers.
const announced = 1.0 / 16

// born brings the start of a server that was not on the last list, or not with this start, into the router's time, whatever the
// clocks say: it began after the list was last complete without it, no later than now, and after its earlier life's start.
func (f *Fleet) born(now control.Micros, told int64, earlier control.Micros) control.Micros {
	if told == 0 && (f.first || f.ours) {
		return 0
	}
	at := control.Micros(told - f.offset)
	if since := f.without(); told == 0 || at < since-control.Micros(announced*float64(f.slow)) {
		at = since
	}
	return max(1, earlier+1, min(at, now))
}

// without is when the list was last complete without a server that comes on it now; 0 where that is not known, as of what a
// configuration knows at the start.
func (f *Fleet) without() control.Micros {
	if f.first || f.ours && f.complete == 0 {
		return 0
	}
	return cmp.Or(f.complete, f.read)
}

// Count gives how many servers are on the list, and how many of them are ready.
func (f *Fleet) Count() (servers, ready int) {
	return f.counts[control.Ready] + f.counts[control.Draining], f.counts[control.Ready]
}

// Servers gives the servers that are on the list, by ascending id.
func (f *Fleet) Servers() []*Server {
	var ss []*Server
	for _, s := range f.servers {
		if s.State != control.Gone {
			ss = append(ss, s)
		}
	}
	slices.SortFunc(ss, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	return ss
}

// Cold tells whether a server began less than a span ago.
func (s *Server) Cold(now, span control.Micros) bool { return s.born > 0 && now < s.born+span }

// Forget drops servers that left the list long ago and for which keep says no. Until then a server that comes back with
// the start that it had is known not to be cold.
func (f *Fleet) Forget(now control.Micros, keep func(control.ServerID) bool) {
	const long = 600_000_000 // as long as the module keeps them
	due := 0
	for due < len(f.gone) && now > f.gone[due].at+long {
		due++
	}
	if due == 0 {
		return
	}
	kept := slices.DeleteFunc(f.gone[:due:due], func(d departure) bool {
		s := f.servers[d.id]
		if s == nil || s.State != control.Gone || s.left != d.at {
			return true // it has returned since
		}
		if keep(d.id) {
			return false
		}
		delete(f.servers, d.id)
		return true
	})
	f.gone = slices.Delete(f.gone, len(kept), due)
}
