// Package membership keeps one model of the servers of a fleet, whatever source lists them, and decides what a failing or
// suspicious source means for the endpoint list. It is free of I/O and clocks; times are the router's.
//
// What a source says and what follows from it are kept apart. A server that the source calls draining drains at once. One
// that it no longer names is withdrawn: alone it is removed at once; together with most of the others it is held for a
// while, since a source that loses most servers in one moment is more often broken than right.
package membership

import (
	"fmt"
	"maps"
	"slices"

	"hollymast/control"
	"hollymast/internal/fleet"
)

// Server is what is known of one server.
type Server struct {
	Endpoint                   // of all clusters that name it, merged
	Clusters    []string       // that name it, ascending
	FirstSeen   control.Micros // since when it is known without a break
	UpdatedAt   control.Micros // when the source last said something new of it
	WithdrawnAt control.Micros // since when no cluster names it; 0: one does
	Held        bool           // withdrawn, but listed for now
	Flapping    bool           // listed as draining because of it
	heldUntil   control.Micros // of Held
	usable      bool           // by its health, when last recorded
	transitions []control.Micros
}

// Model is the state of a fleet's membership. It is not safe for concurrent use.
type Model struct {
	bounds   Bounds
	clusters map[string]*cluster
	servers  map[string]*Server // by address
	timed    map[string]bool    // addresses of the servers that Tick may change
	logLines []string

	sourceDownSince control.Micros  // 0: the source is up
	orphanEndpoints int             // of clusters that were not announced
	releasing       map[string]bool // clusters with more priorities in use than required

	recentlyWithdrawn []*Server // usable servers withdrawn within the window
	batching          bool      // withdrawals wait in batchWithdrawn
	batchWithdrawn    []*Server

	version      uint64 // of the endpoint list, one more with each change
	takenVersion uint64 // of the last update taken
	takenAt      control.Micros
	published    map[string]fleet.Endpoint // by the updates taken so far; nil: none was
	dirty        map[string]bool           // addresses whose endpoint may differ from the one published
}

// New returns a model that knows nothing.
func New(bounds Bounds) *Model {
	return &Model{
		bounds:    bounds,
		clusters:  map[string]*cluster{},
		servers:   map[string]*Server{},
		timed:     map[string]bool{},
		releasing: map[string]bool{},
		dirty:     map[string]bool{},
	}
}

// SourceUp records that the source can be reached.
func (m *Model) SourceUp(now control.Micros) {
	if m.sourceDownSince > 0 {
		m.logf("the source of endpoints is back after %d us", now-m.sourceDownSince)
		m.sourceDownSince = 0
	}
}

// SourceDown records that the source can't be reached. The list stays as the source last had it until it is back.
func (m *Model) SourceDown(now control.Micros) {
	if m.sourceDownSince == 0 {
		m.logf("the source of endpoints is down: the endpoint list stays as it is")
		m.sourceDownSince = now
	}
}

// SourceDownSince returns since when the source is down; 0: it is up.
func (m *Model) SourceDownSince() control.Micros { return m.sourceDownSince }

// Servers returns what is known of every server, by address.
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

// TakeLogLines returns the lines to log since the last call.
func (m *Model) TakeLogLines() []string {
	lines := m.logLines
	m.logLines = nil
	return lines
}

// sortedKeys makes the order in which servers and clusters are visited independent of Go's maps.
func sortedKeys[T any](byKey map[string]T) []string { return slices.Sorted(maps.Keys(byKey)) }
