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

// Endpoint is one server as a list tells it.
type Endpoint struct {
	Name      string // where the list names servers apart from their addresses, which others may get; else empty
	Address   string
	State     control.ServerState
	Zone      string
	Cell      string
	Weight    float64
	StartedAt int64 // wall clock, microseconds since 1970; 0: long ago
}

// Server is what the fleet keeps of a server.
type Server struct {
	ID         control.ServerID
	Address    string
	State      control.ServerState
	Zone       control.ZoneID
	Cell       control.CellID
	Endpoint   Endpoint       // as the list told it last
	toldStart  int64          // the start as the list told it
	startedAt  control.Micros // brought into the router's time
	removedAt  control.Micros // when it was last on a list
	fullUpdate uint64         // the last complete list that named it
}

// Update is what a source tells at a time: the complete list, or only what differs from what it told before.
type Update struct {
	Full      bool
	Endpoints []Endpoint // of changes: each server at most once, those that left in state Gone
}

// removal is that of a server from the list.
type removal struct {
	id control.ServerID
	at control.Micros // when it was last on it
}

// Fleet is the list as last told.
type Fleet struct {
	offset      int64 // wall clock at the router's time 0, fixed at the start
	lastUpdate  control.Micros
	first       bool
	sourceClock bool
	fullUpdates uint64 // complete ones so far
	// completeAsOf is the last time of which it is known that nothing its source had told by then is missing; 0: none is known.
	completeAsOf control.Micros
	slowStart    control.Micros // how long slow start takes
	servers      map[control.ServerID]*Server
	removed      []removal                   // in the order of their ends
	counts       map[control.ServerState]int // of servers on the list
	zones        map[string]control.ZoneID
	cells        map[string]control.CellID
}

// New gives an empty fleet. Offset is the wall clock (microseconds since 1970) at the router's time 0: read once, so
// that setting the clock later changes nothing.
func New(offset int64) *Fleet {
	return &Fleet{offset: offset, first: true, servers: map[control.ServerID]*Server{}, counts: map[control.ServerState]int{},
		zones: map[string]control.ZoneID{}, cells: map[string]control.CellID{}}
}

// UseSourceClock is for lists made by the clock that the router's own time was read from, on which a server whose start is not told
// has run for long, whenever it is first listed.
func (f *Fleet) UseSourceClock() { f.sourceClock = true }

// SlowStart tells how long a server's slow start takes.
func (f *Fleet) SlowStart(span control.Micros) { f.slowStart = span }

// CompleteAsOf tells as of when the list was complete that was taken in last: nothing told by then is missing. Call it after the
// lists that were told by then.
func (f *Fleet) CompleteAsOf(asOf control.Micros) { f.completeAsOf = max(f.completeAsOf, asOf) }

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

// FullUpdate takes in a whole list, heard at a time, and gives it in the module's words, by ascending id. A server that it
// leaves out is gone; it is kept as such, so that its return is known for a restart, until Forget.
func (f *Fleet) FullUpdate(now control.Micros, list []Endpoint) []control.Endpoint {
	f.fullUpdates++
	out := f.applyEndpoints(now, list)
	for _, s := range f.servers {
		if s.fullUpdate != f.fullUpdates {
			f.remove(s)
		}
	}
	f.lastUpdate, f.first = now, false
	return out
}

// IncrementalUpdate takes in what differs from what was heard last, and gives it in the module's words, by ascending id: all is then as if
// the complete list had come. A server that leaves is handed on as it was, but gone.
func (f *Fleet) IncrementalUpdate(now control.Micros, changed []Endpoint) []control.Endpoint {
	out := f.applyEndpoints(now, changed)
	f.lastUpdate, f.first = now, false
	return out
}

// remove notes that a server is on the list no more.
func (f *Fleet) remove(s *Server) {
	if s.State != control.Removed {
		f.counts[s.State]--
		s.State, s.removedAt = control.Removed, f.lastUpdate
		f.removed = append(f.removed, removal{s.ID, s.removedAt})
	}
}

// applyEndpoints takes in what a list tells of the servers that it names.
func (f *Fleet) applyEndpoints(now control.Micros, list []Endpoint) []control.Endpoint {
	out := make([]control.Endpoint, 0, len(list))
	for _, e := range list {
		id := ID(cmp.Or(e.Name, e.Address))
		s := f.servers[id]
		if e.State == control.Removed {
			if s != nil && s.State != control.Removed {
				f.remove(s)
				out = append(out, s.endpoint())
			}
			continue
		}
		if s != nil && s.State != control.Removed {
			f.counts[s.State]--
		}
		f.counts[e.State]++
		// With no start told, a server that was gone may have restarted meanwhile.
		fresh := s == nil || s.toldStart != e.StartedAt || s.State == control.Removed && e.StartedAt == 0
		if s == nil {
			s = &Server{ID: id, Address: e.Address}
			f.servers[id] = s
		}
		if fresh {
			s.toldStart, s.startedAt = e.StartedAt, f.startedAt(now, e.StartedAt, s.startedAt)
		}
		s.Endpoint, s.Address = e, e.Address
		s.State, s.Zone, s.Cell, s.removedAt = e.State, f.Zone(e.Zone), intern(f.cells, e.Cell), now
		s.fullUpdate = f.fullUpdates
		out = append(out, s.endpoint())
	}
	slices.SortFunc(out, func(a, b control.Endpoint) int { return cmp.Compare(a.Server, b.Server) })
	return out
}

// endpoint gives a server in the module's words.
func (s *Server) endpoint() control.Endpoint {
	return control.Endpoint{Server: s.ID, State: s.State, Zone: s.Zone, Cell: s.Cell, Weight: s.Endpoint.Weight, StartedAt: s.startedAt}
}

// announcementLag is the part of slow start that may pass between a server's start and its first listing, at the most: sources tell
// a server once it was found ready. A clock that is off by less makes a server look this much older: with a quarter of the
// capacity at first the budget is then a fifth too large, which the module's margin covers.
const announcementLag = 1.0 / 16

// startedAt brings the start of a server that was not on the last list, or not with this start, into the router's time, whatever the
// clocks say: it began after the list was last complete without it, no later than now, and after its earlier life's start.
func (f *Fleet) startedAt(now control.Micros, told int64, earlier control.Micros) control.Micros {
	if told == 0 && (f.first || f.sourceClock) {
		return 0
	}
	at := control.Micros(told - f.offset)
	if since := f.lastWithout(); told == 0 || at < since-control.Micros(announcementLag*float64(f.slowStart)) {
		at = since
	}
	return max(1, earlier+1, min(at, now))
}

// lastWithout is when the list was last complete without a server that comes on it now; 0 where that is not known, as of what a
// configuration knows at the start.
func (f *Fleet) lastWithout() control.Micros {
	if f.first || f.sourceClock && f.completeAsOf == 0 {
		return 0
	}
	return cmp.Or(f.completeAsOf, f.lastUpdate)
}

// Count gives how many servers are on the list, and how many of them are ready.
func (f *Fleet) Count() (servers, ready int) {
	return f.counts[control.Ready] + f.counts[control.Draining], f.counts[control.Ready]
}

// Servers gives the servers that are on the list, by ascending id.
func (f *Fleet) Servers() []*Server {
	var ss []*Server
	for _, s := range f.servers {
		if s.State != control.Removed {
			ss = append(ss, s)
		}
	}
	slices.SortFunc(ss, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	return ss
}

// InSlowStart tells whether a server began less than a span ago.
func (s *Server) InSlowStart(now, span control.Micros) bool {
	return s.startedAt > 0 && now < s.startedAt+span
}

// Prune drops servers that left the list long ago and for which keep says no. Until then a server that comes back with
// the start that it had is known not to be cold.
func (f *Fleet) Prune(now control.Micros, keep func(control.ServerID) bool) {
	const long = 600_000_000 // as long as the module keeps them
	due := 0
	for due < len(f.removed) && now > f.removed[due].at+long {
		due++
	}
	if due == 0 {
		return
	}
	kept := slices.DeleteFunc(f.removed[:due:due], func(d removal) bool {
		s := f.servers[d.id]
		if s == nil || s.State != control.Removed || s.removedAt != d.at {
			return true // it has returned since
		}
		if keep(d.id) {
			return false
		}
		delete(f.servers, d.id)
		return true
	})
	f.removed = slices.Delete(f.removed, len(kept), due)
}
