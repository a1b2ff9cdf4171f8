// Package fleet turns the endpoint lists of a source, discovery or the configuration, into the balancer's terms.
// It is free of I/O and clocks.
//
// What it decides is how old a server is. Lists carry the start time of a server by another machine's wall
// clock; the router's own time only goes forward. A wall clock that is set must make no server look older than
// it can be, since a server in slow start would then be sent more than it can take (rule 4).
package fleet

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hollymast/control"
)

// Endpoint is one server as a source lists it.
type Endpoint struct {
	Name      string // set if the source names servers apart from their addresses, which other servers may get; else empty
	Address   string
	State     control.ServerState
	Zone      string
	Cell      string
	Weight    float64
	StartedAt int64 // wall clock, microseconds since 1970; 0: long ago
}

// Server is what the fleet keeps of a server.
type Server struct {
	ID          control.ServerID
	Address     string
	State       control.ServerState
	Zone        control.ZoneID
	Cell        control.CellID
	Endpoint    Endpoint       // as last listed
	listedStart int64          // Endpoint.StartedAt as last listed
	startedAt   control.Micros // the start in the router's time
	removedAt   control.Micros // when it was last on a list
	fullUpdate  uint64         // the number of the last full update that listed it
}

// Update is what a source sends at a time: the full list, or only what differs from what it sent before.
type Update struct {
	Full      bool
	Endpoints []Endpoint // if not Full: each server at most once, a server that left in state Removed
}

// removal is the removal of a server from the list.
type removal struct {
	id control.ServerID
	at control.Micros // when it was last on the list
}

// Fleet is the endpoint list as last sent. It is not safe for concurrent use.
type Fleet struct {
	offset      int64 // wall clock at the router's time 0, in microseconds since 1970, fixed at the start
	lastUpdate  control.Micros
	first       bool
	sourceClock bool
	fullUpdates uint64 // number of full updates so far
	// completeAsOf is the last time of which it is known that the list holds all that its source had sent by
	// then; 0: none is known.
	completeAsOf control.Micros
	slowStart    control.Micros // duration of slow start
	servers      map[control.ServerID]*Server
	removed      []removal                   // in the order of their removal
	counts       map[control.ServerState]int // number of servers on the list by state
	zones        map[string]control.ZoneID
	cells        map[string]control.CellID
}

// New returns an empty fleet. Offset is the wall clock (microseconds since 1970) at the router's time 0: it is
// read once, so that setting the clock later changes nothing.
func New(offset int64) *Fleet {
	return &Fleet{
		offset:  offset,
		first:   true,
		servers: map[control.ServerID]*Server{},
		counts:  map[control.ServerState]int{},
		zones:   map[string]control.ZoneID{},
		cells:   map[string]control.CellID{},
	}
}

// UseSourceClock is for a source that shares the clock of the router's own time. A server that such a source
// lists without a start time has run for long, whenever it is first listed.
func (f *Fleet) UseSourceClock() { f.sourceClock = true }

// SetSlowStartDuration sets the duration of slow start.
func (f *Fleet) SetSlowStartDuration(duration control.Micros) { f.slowStart = duration }

// SetCompleteAsOf sets the time as of which the list is complete: it holds all that its source had sent by then. It
// is called after the updates that were sent by then.
func (f *Fleet) SetCompleteAsOf(asOf control.Micros) { f.completeAsOf = max(f.completeAsOf, asOf) }

// ID returns a server's ID, from its name or address. It is the same in every router, since all share one order
// of servers.
func ID(address string) control.ServerID {
	if a, err := netip.ParseAddrPort(address); err == nil && a.Addr().Is4() {
		b := a.Addr().As4()
		return control.ServerID(b[0])<<40 | control.ServerID(b[1])<<32 | control.ServerID(b[2])<<24 |
			control.ServerID(b[3])<<16 | control.ServerID(a.Port())
	}
	return control.ServerID(xxhash.Sum64String(address) | 1<<63) // no IPv4 address has the top bit
}

// ZoneID returns a zone's ID; the empty name is zone 0.
func (f *Fleet) ZoneID(name string) control.ZoneID { return intern(f.zones, name) }

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

// Get returns a server by ID, or nil if no list named it.
func (f *Fleet) Get(id control.ServerID) *Server { return f.servers[id] }

// FullUpdate takes in a full list, received at now, and returns it in the balancer's terms by ascending ID. A
// server that is not on it is removed; it is kept as such until Prune, so that its return is recognized as a
// restart.
func (f *Fleet) FullUpdate(now control.Micros, list []Endpoint) []control.Endpoint {
	f.fullUpdates++
	updated := f.applyEndpoints(now, list)
	for _, s := range f.servers {
		if s.fullUpdate != f.fullUpdates {
			f.remove(s)
		}
	}
	f.lastUpdate, f.first = now, false
	return updated
}

// IncrementalUpdate takes in the changes since the last update, received at now, and returns them in the
// balancer's terms by ascending ID. All is then as if the full list had come. A server that leaves is returned
// as it was, in state Removed.
func (f *Fleet) IncrementalUpdate(now control.Micros, changed []Endpoint) []control.Endpoint {
	updated := f.applyEndpoints(now, changed)
	f.lastUpdate, f.first = now, false
	return updated
}

// remove marks a server as removed from the list.
func (f *Fleet) remove(s *Server) {
	if s.State != control.Removed {
		f.counts[s.State]--
		s.State, s.removedAt = control.Removed, f.lastUpdate
		f.removed = append(f.removed, removal{s.ID, s.removedAt})
	}
}

// applyEndpoints takes in the listed endpoints and returns them in the balancer's terms.
func (f *Fleet) applyEndpoints(now control.Micros, list []Endpoint) []control.Endpoint {
	updated := make([]control.Endpoint, 0, len(list))
	for _, e := range list {
		id := ID(cmp.Or(e.Name, e.Address))
		s := f.servers[id]
		if e.State == control.Removed {
			if s != nil && s.State != control.Removed {
				f.remove(s)
				updated = append(updated, s.endpoint())
			}
			continue
		}
		if s != nil && s.State != control.Removed {
			f.counts[s.State]--
		}
		f.counts[e.State]++
		// Without a start time, a server that was removed may have restarted meanwhile.
		newStart := s == nil || s.listedStart != e.StartedAt || s.State == control.Removed && e.StartedAt == 0
		if s == nil {
			s = &Server{ID: id, Address: e.Address}
			f.servers[id] = s
		}
		if newStart {
			s.listedStart, s.startedAt = e.StartedAt, f.startedAt(now, e.StartedAt, s.startedAt)
		}
		s.Endpoint, s.Address = e, e.Address
		s.State, s.Zone, s.Cell = e.State, f.ZoneID(e.Zone), intern(f.cells, e.Cell)
		s.removedAt = now
		s.fullUpdate = f.fullUpdates
		updated = append(updated, s.endpoint())
	}
	slices.SortFunc(updated, func(a, b control.Endpoint) int { return cmp.Compare(a.Server, b.Server) })
	return updated
}

// endpoint returns a server in the balancer's terms.
func (s *Server) endpoint() control.Endpoint {
	return control.Endpoint{Server: s.ID, State: s.State, Zone: s.Zone, Cell: s.Cell, Weight: s.Endpoint.Weight,
		StartedAt: s.startedAt}
}

// startedAt converts the start time of a server that was not on the last list, or not with this start time, into
// the router's time; 0 is long ago. Whatever the clocks say, a start is no earlier than the last time that the
// list was complete without the server (see control.EarliestStart), no later than now, and after the start of the
// server's previous incarnation.
func (f *Fleet) startedAt(now control.Micros, listedStart int64, previous control.Micros) control.Micros {
	if listedStart == 0 && (f.first || f.sourceClock) {
		return 0
	}
	at := control.Micros(listedStart - f.offset)
	if since := f.lastWithout(); listedStart == 0 || at < control.EarliestStart(since, f.slowStart) {
		at = since
	}
	return max(1, previous+1, min(at, now))
}

// lastWithout returns when the list was last complete without a server that is listed now; 0 if that is not
// known, as for the servers of the configuration at the start.
func (f *Fleet) lastWithout() control.Micros {
	if f.first || f.sourceClock && f.completeAsOf == 0 {
		return 0
	}
	return cmp.Or(f.completeAsOf, f.lastUpdate)
}

// Count returns how many servers are on the list, and how many of them are ready.
func (f *Fleet) Count() (servers, ready int) {
	return f.counts[control.Ready] + f.counts[control.Draining], f.counts[control.Ready]
}

// Servers returns the servers on the list by ascending ID.
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

// StartedAt returns when the server started, in the router's time; 0: long ago.
func (s *Server) StartedAt() control.Micros { return s.startedAt }

// InSlowStart reports whether a server started less than span ago.
func (s *Server) InSlowStart(now, span control.Micros) bool {
	return s.startedAt > 0 && now < s.startedAt+span
}

// Prune drops servers that left the list long ago and for which keep returns false. A server that comes back
// before that with the start time that it had is known not to need slow start.
func (f *Fleet) Prune(now control.Micros, keep func(control.ServerID) bool) {
	const retention = 600_000_000 // 10 minutes, as long as the balancer keeps them
	due := 0
	for due < len(f.removed) && now > f.removed[due].at+retention {
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
