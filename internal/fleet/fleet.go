// Package fleet converts the endpoint lists of a source, discovery or the configuration, to the balancer's endpoints.
// It does no I/O and reads no clock.
//
// Its main task is to determine how old a server is. Lists carry the start time of a server by another machine's wall
// clock, while the router's own clock is monotonic. An adjusted wall clock must make no server look older than it can
// be, since a server in slow start would then be sent more than it can take (rule 4 of docs/design.md).
package fleet

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hollymast/control"
)

// Endpoint is one server as listed by a source.
type Endpoint struct {
	Name      string // set if the source identifies servers by name, since another server may get the same address; else empty
	Address   string
	State     control.ServerState
	Zone      string
	Cell      string
	Weight    float64
	StartedAt int64 // wall clock, microseconds since 1970; 0 if long ago
}

// Server is what the fleet knows about a server.
type Server struct {
	ID          control.ServerID
	Address     string
	State       control.ServerState
	Zone        control.ZoneID
	Cell        control.CellID
	Endpoint    Endpoint       // as last listed
	listedStart int64          // Endpoint.StartedAt as last listed
	startedAt   control.Micros // start time on the router's clock
	sameSince   control.Micros // see SameSince
	removedAt   control.Micros // time of the last list that it was on
	fullUpdate  uint64         // number of the last full update that listed it
}

// Update is one message of a source: the full list, or only the changes since the previous update.
type Update struct {
	Full      bool
	Endpoints []Endpoint // if not Full: each changed server once; a server that left has state Removed
}

// removal records that a server was removed from the list.
type removal struct {
	id control.ServerID
	at control.Micros // time of the last list that it was on
}

// Fleet is the current endpoint list. It is not safe for concurrent use.
type Fleet struct {
	offset            int64 // wall clock at the router's time 0, in microseconds since 1970, fixed at the start
	lastUpdate        control.Micros
	beforeFirstUpdate bool
	sourceClock       bool
	fullUpdates       uint64 // number of full updates so far
	// completeAsOf is the latest time for which the list is known to contain everything that its source had sent by
	// then; 0 if there is none.
	completeAsOf control.Micros
	slowStart    control.Micros // duration of slow start
	servers      map[control.ServerID]*Server
	removed      []removal                   // in the order of their removal
	counts       map[control.ServerState]int // number of servers on the list by state
	zones        map[string]control.ZoneID
	cells        map[string]control.CellID
}

// New returns an empty fleet. offset is the wall clock (microseconds since 1970) at the router's time 0. It is read
// once, so that later adjustments of the wall clock change nothing.
func New(offset int64) *Fleet {
	return &Fleet{
		offset:            offset,
		beforeFirstUpdate: true,
		servers:           map[control.ServerID]*Server{},
		counts:            map[control.ServerState]int{},
		zones:             map[string]control.ZoneID{},
		cells:             map[string]control.CellID{},
	}
}

// UseSourceClock declares that the source uses the same clock as the router. A server that such a source lists without
// a start time started long ago, whenever it is first listed.
func (f *Fleet) UseSourceClock() { f.sourceClock = true }

// SetSlowStartDuration sets the duration of slow start.
func (f *Fleet) SetSlowStartDuration(duration control.Micros) { f.slowStart = duration }

// SetCompleteAsOf declares that the list contains everything that its source had sent by the given time. It is called
// after those updates have been applied.
func (f *Fleet) SetCompleteAsOf(asOf control.Micros) { f.completeAsOf = max(f.completeAsOf, asOf) }

// ID returns a server's ID, derived from its name or address. It is the same in every router, since all routers must
// order servers alike.
func ID(nameOrAddress string) control.ServerID {
	if a, err := netip.ParseAddrPort(nameOrAddress); err == nil && a.Addr().Is4() {
		b := a.Addr().As4()
		return control.ServerID(b[0])<<40 | control.ServerID(b[1])<<32 | control.ServerID(b[2])<<24 |
			control.ServerID(b[3])<<16 | control.ServerID(a.Port())
	}
	return control.ServerID(xxhash.Sum64String(nameOrAddress) | 1<<63) // the top bit is never set for an IPv4 address
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

// Get returns a server by ID, or nil if it was never listed or has been pruned.
func (f *Fleet) Get(id control.ServerID) *Server { return f.servers[id] }

// FullUpdate applies a full list, received at now, and returns it as balancer endpoints by ascending ID. Servers that
// are not on the list are removed; they are kept in that state until Prune, so that their return is recognized as a
// restart.
func (f *Fleet) FullUpdate(now control.Micros, list []Endpoint) []control.Endpoint {
	f.fullUpdates++
	updated := f.applyEndpoints(now, list)
	for _, s := range f.servers {
		if s.fullUpdate != f.fullUpdates {
			f.remove(s)
		}
	}
	f.lastUpdate, f.beforeFirstUpdate = now, false
	return updated
}

// IncrementalUpdate applies the changes since the last update, received at now, and returns them as balancer endpoints
// by ascending ID. The resulting state is the same as after the equivalent full list. A server that leaves is returned
// as it was last listed, in state Removed.
func (f *Fleet) IncrementalUpdate(now control.Micros, changed []Endpoint) []control.Endpoint {
	updated := f.applyEndpoints(now, changed)
	f.lastUpdate, f.beforeFirstUpdate = now, false
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

// applyEndpoints applies listed endpoints and returns them as balancer endpoints.
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
		// Without a start time, a server that was removed may have restarted in the meantime.
		known := s != nil
		newStart := !known || s.listedStart != e.StartedAt || s.State == control.Removed && e.StartedAt == 0
		if !known {
			s = &Server{ID: id, Address: e.Address}
			f.servers[id] = s
		}
		moved := known && (s.Endpoint.Address != e.Address || s.Endpoint.Zone != e.Zone || s.Endpoint.Cell != e.Cell)
		if newStart {
			s.listedStart, s.startedAt = e.StartedAt, f.startedAt(now, e.StartedAt, s.startedAt)
		}
		if newStart || moved {
			s.sameSince = now
			if e.StartedAt != 0 && !moved {
				s.sameSince = s.startedAt
			}
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

// endpoint returns a server as a balancer endpoint.
func (s *Server) endpoint() control.Endpoint {
	return control.Endpoint{Server: s.ID, State: s.State, Zone: s.Zone, Cell: s.Cell, Weight: s.Endpoint.Weight,
		StartedAt: s.startedAt}
}

// startedAt converts the start time of a server that was not on the last list, or had another start time there, to the
// router's clock; 0 means long ago. Whatever the clocks say, the result is no earlier than the last time that the list
// was complete without the server (see control.EarliestStart), no later than now, and after the start of the server's
// previous incarnation.
func (f *Fleet) startedAt(now control.Micros, listedStart int64, previous control.Micros) control.Micros {
	if listedStart == 0 && (f.beforeFirstUpdate || f.sourceClock) {
		return 0
	}
	at := control.Micros(listedStart - f.offset)
	if earliest := f.lastCompleteWithout(); listedStart == 0 || at < control.EarliestStart(earliest, f.slowStart) {
		at = earliest
	}
	return max(1, previous+1, min(at, now))
}

// lastCompleteWithout returns when the list was last complete without a server that is listed now. It returns 0 if that
// is not known, as for the servers of the configuration at startup.
func (f *Fleet) lastCompleteWithout() control.Micros {
	if f.beforeFirstUpdate || f.sourceClock && f.completeAsOf == 0 {
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

// StartedAt returns when the server started, on the router's clock; 0 if long ago.
func (s *Server) StartedAt() control.Micros { return s.startedAt }

// SameSince returns since when the server is known to be the same process, at the same address and in the same zone and cell, on
// the router's clock. Another process may have had its address, and so its ID, before.
func (s *Server) SameSince() control.Micros { return s.sameSince }

// InSlowStart reports whether a server started less than span ago.
func (s *Server) InSlowStart(now, span control.Micros) bool {
	return s.startedAt > 0 && now < s.startedAt+span
}

// Prune deletes servers that left the list long ago and for which keep returns false. A server that returns before that
// with an unchanged start time is known not to need slow start.
func (f *Fleet) Prune(now control.Micros, keep func(control.ServerID) bool) {
	const retention = 600_000_000 // 10 minutes, the same as in the balancer
	due := 0
	for due < len(f.removed) && now > f.removed[due].at+retention {
		due++
	}
	if due == 0 {
		return
	}
	kept := slices.DeleteFunc(f.removed[:due:due], func(r removal) bool {
		s := f.servers[r.id]
		if s == nil || s.State != control.Removed || s.removedAt != r.at {
			return true // it has returned since
		}
		if keep(r.id) {
			return false
		}
		delete(f.servers, r.id)
		return true
	})
	f.removed = slices.Delete(f.removed, len(kept), due)
}
