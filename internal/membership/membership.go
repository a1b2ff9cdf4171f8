// Package membership keeps one model of which servers there are, from whatever source tells of them, and decides what a
// broken or suspicious source means. It is free of I/O and clocks; times are the router's.
//
// What a source says and what is made of it are kept apart. A server that the source calls draining is draining at once.
// One that it no longer names is withdrawn: alone it is gone at once; together with most of the others it is kept for a
// while, since a source that loses most servers in one moment is more often broken than right.
package membership

import (
	"fmt"
	"slices"

	"hollymast/control"
	"hollymast/internal/fleet"
)

// Fact is what is known of one server.
type Server struct {
	Endpoint
	Clusters    []string       // that name it, ascending
	FirstSeen   control.Micros // since when it is known without a break
	UpdatedAt   control.Micros // when the source last said something new of it
	WithdrawnAt control.Micros // since when no cluster names it; 0: one does
	Held        bool           // withdrawn, but kept for now
	Flapping    bool           // called draining for it
	transitions []control.Micros
	usable      bool
	heldUntil   control.Micros // of Held
}

// Members is the model. It is for one goroutine.
type Model struct {
	bounds            Bounds
	clusters          map[string]*cluster
	servers           map[string]*Server // by address
	timed             map[string]bool    // of facts: those that time changes
	releasing         map[string]bool    // clusters with more levels in use than needed
	batching          bool               // what is withdrawn waits in pending
	batchWithdrawn    []*Server
	orphanEndpoints   int
	sourceDownSince   control.Micros // since when the source is down; 0: it is up
	recentlyWithdrawn []*Server      // usable servers withdrawn lately
	version           uint64         // of the list, one more with each change
	takenVersion      uint64         // the version last given
	takenAt           control.Micros
	published         map[string]fleet.Endpoint // as last given; nil: nothing was
	dirty             map[string]bool           // addresses whose entry may differ from that
	logLines          []string
}

// New gives a model that knows nothing.
func New(b Bounds) *Model {
	return &Model{bounds: b, clusters: map[string]*cluster{}, servers: map[string]*Server{}, timed: map[string]bool{}, releasing: map[string]bool{},
		dirty: map[string]bool{}}
}

// Source tells whether the source is up. While it is down all stands as it last said.
func (m *Model) Source(now control.Micros, up bool) {
	switch {
	case up && m.sourceDownSince > 0:
		m.logf("the source of the list is back after %d us", now-m.sourceDownSince)
		m.sourceDownSince = 0
	case !up && m.sourceDownSince == 0:
		m.logf("the source of the list is down: the list stands as it was")
		m.sourceDownSince = now
	}
}

func sortedKeys[T any](byKey map[string]T) []string {
	keys := make([]string, 0, len(byKey))
	for k := range byKey {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Facts gives what is known of every server, by address.
func (m *Model) Servers() []Server {
	var servers []Server
	for _, a := range sortedKeys(m.servers) {
		f := *m.servers[a]
		f.transitions = nil
		servers = append(servers, f)
	}
	return servers
}

// Broken tells since when the source is down; 0: it is up.
func (m *Model) SourceDownSince() control.Micros { return m.sourceDownSince }

func (m *Model) logf(format string, args ...any) {
	m.logLines = append(m.logLines, fmt.Sprintf(format, args...))
}

// Notes gives what is to be told operators since the last call.
func (m *Model) TakeLogLines() []string {
	notes := m.logLines
	m.logLines = nil
	return notes
}
