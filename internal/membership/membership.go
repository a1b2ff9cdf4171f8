// Package membership builds a router's endpoint list from the clusters and endpoints that a source reports, and protects the
// list from a source that fails or reports implausible changes. It does no I/O and reads no clock; all times are the router's.
//
// The package stores what the source reports apart from the list derived from it. A server that the source reports as draining
// is listed as draining at once. A server that no cluster lists any more is withdrawn. A few withdrawn servers are removed at
// once; when most servers are withdrawn together, they are held (stay listed) for a while, since a source that loses most
// servers at one moment is more often broken than right.
package membership

import (
	"fmt"
	"maps"
	"slices"

	"hollymast/control"
	"hollymast/internal/fleet"
)

// Server is the state of one server.
type Server struct {
	Endpoint                     // merged from all clusters that list it
	Clusters    []string         // that list it, in ascending order
	FirstSeen   control.Micros   // since when it has been known without interruption
	UpdatedAt   control.Micros   // when the source last reported a change of it
	WithdrawnAt control.Micros   // since when no cluster lists it; 0: at least one does
	Held        bool             // withdrawn, but still listed until heldUntil
	Flapping    bool             // changes too often and is therefore listed as draining
	heldUntil   control.Micros   // end of the hold if Held
	usable      bool             // whether its health was usable when last recorded
	transitions []control.Micros // times of recent changes of usable
}

// Model is the membership state of a fleet. It is not safe for concurrent use.
type Model struct {
	bounds    Bounds
	clusters  map[string]*cluster
	servers   map[string]*Server // by address
	needsTick map[string]bool    // addresses of the servers that Tick has to visit
	logLines  []string

	sourceDownSince control.Micros  // 0: the source is up
	orphanEndpoints int             // number of endpoints of clusters that are not announced
	releasing       map[string]bool // clusters that use more priorities than required

	recentlyWithdrawn []*Server // usable servers withdrawn within WithdrawalWindow
	batching          bool      // a Batch is running: withdrawn servers are collected in batchWithdrawn
	batchWithdrawn    []*Server

	version      uint64                    // of the endpoint list; grows with each change
	takenVersion uint64                    // version as of the last TakeUpdate
	takenAt      control.Micros            // time of the last TakeUpdate; 0: none yet
	published    map[string]fleet.Endpoint // the list that the updates taken so far add up to; nil: none was taken
	dirty        map[string]bool           // addresses whose endpoint may differ from the published one
}

// New returns a model without clusters and servers.
func New(bounds Bounds) *Model {
	return &Model{
		bounds:    bounds,
		clusters:  map[string]*cluster{},
		servers:   map[string]*Server{},
		needsTick: map[string]bool{},
		releasing: map[string]bool{},
		dirty:     map[string]bool{},
	}
}

// SourceUp records that the source is reachable.
func (m *Model) SourceUp(now control.Micros) {
	if m.sourceDownSince > 0 {
		m.logf("endpoint source is back after %d us", now-m.sourceDownSince)
		m.sourceDownSince = 0
	}
}

// SourceDown records that the source is unreachable. Until SourceUp the list stays as the source last reported it.
func (m *Model) SourceDown(now control.Micros) {
	if m.sourceDownSince == 0 {
		m.logf("endpoint source is down: the endpoint list stays as it is")
		m.sourceDownSince = now
	}
}

// SourceDownSince returns since when the source has been down; 0: it is up.
func (m *Model) SourceDownSince() control.Micros { return m.sourceDownSince }

// Servers returns copies of all servers, sorted by address.
func (m *Model) Servers() []Server {
	var servers []Server
	for _, address := range sortedKeys(m.servers) {
		server := *m.servers[address]
		server.transitions = nil
		servers = append(servers, server)
	}
	return servers
}

func (m *Model) logf(format string, args ...any) {
	m.logLines = append(m.logLines, fmt.Sprintf(format, args...))
}

// TakeLogLines returns the lines to log that were added since the last call.
func (m *Model) TakeLogLines() []string {
	lines := m.logLines
	m.logLines = nil
	return lines
}

// sortedKeys returns a map's keys in ascending order, so that servers and clusters are visited in a deterministic order.
func sortedKeys[T any](byKey map[string]T) []string { return slices.Sorted(maps.Keys(byKey)) }
