// Package membership keeps one model of which servers there are, from whatever source tells of them, and decides what a
// broken or suspicious source means. It is free of I/O and clocks; times are the router's.
//
// What a source says and what is made of it are kept apart. A server that the source calls draining is draining at once.
// One that it no longer names is withdrawn: alone it is gone at once; together with most of the others it is kept for a
// while, since a source that loses most servers in one moment is more often broken than right.
package membership

import (
	"cmp"
	"fmt"
	"slices"

	"hollymast/control"
	"hollymast/internal/fleet"
)

// Health is what a source says of an endpoint, in the words of Envoy's core.HealthStatus.
type Health uint8

// Healths. Unknown counts as healthy, as it does for Envoy; a degraded endpoint works, though worse.
const (
	Unknown Health = iota
	Healthy
	Degraded
	Unhealthy
	Draining
	Timeout
)

// Endpoint is what a source says of one server.
type Endpoint struct {
	Address   string
	Health    Health
	Weight    uint32 // 0: not told
	Priority  uint32
	Zone      string
	Cell      string
	StartedAt int64 // wall clock, microseconds since 1970; 0: not told
}

// Bounds are what is made of a suspicious source.
type Bounds struct {
	MassWithdrawalShare float64        // withdrawing more than this share of the usable servers in one moment is suspicious
	MassWithdrawalMin   int            // so many may always go
	HoldTime            control.Micros // for which such servers are kept; withdrawn for longer they are believed gone
	FlapLimit           int            // changes between usable and not within Calm after which a server counts as not usable
	StableTime          control.Micros // and for how long after the last change
	WithdrawalWindow    control.Micros // withdrawals within it count together
	SettleTime          control.Micros // and for which the last of them are kept once the others are back
	MaxOrphans          int            // endpoints of clusters that were not yet named, at most
}

// Usual are bounds for a fleet of some ten to some thousand servers. Half: a rolling update takes a tenth or a quarter at a
// time. 30 s: a control plane restarts within that. A second: one change of many servers comes in several messages.
// 200 ms: their return does too, and what is then still missing is gone within the time that a drain allows.
var DefaultBounds = Bounds{MassWithdrawalShare: 0.5, MassWithdrawalMin: 2, HoldTime: 30_000_000, FlapLimit: 6, StableTime: 5_000_000, WithdrawalWindow: 1_000_000, SettleTime: 200_000, MaxOrphans: 10_000}

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

// cluster is what a source says of one cluster.
type cluster struct {
	announced  bool // else only its endpoints came so far
	endpoints  map[string]Endpoint
	priorities priorities
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

// Clusters takes in all clusters that there are. One that is left out is withdrawn with its endpoints, which are forgotten
// only if it stays so: it may come back as it was.
func (m *Model) SetClusters(now control.Micros, names []string) {
	present := make(map[string]bool, len(names))
	for _, name := range names {
		present[name] = true
	}
	m.Batch(now, func() {
		for _, name := range sortedKeys(m.clusters) {
			if !present[name] {
				m.RemoveCluster(now, name)
			}
		}
		for _, name := range names {
			m.AddCluster(now, name)
		}
	})
}

// AddCluster takes in that there is a cluster; its endpoints may have come before.
func (m *Model) AddCluster(now control.Micros, name string) {
	c := m.cluster(name)
	if c.announced {
		return
	}
	c.announced = true
	m.orphanEndpoints -= len(c.endpoints)
	m.reconcile(now, name, sortedKeys(c.endpoints))
}

// RemoveCluster takes in that there is no such cluster any more.
func (m *Model) RemoveCluster(now control.Micros, name string) {
	c := m.clusters[name]
	if c == nil || !c.announced {
		return
	}
	delete(m.clusters, name)
	m.reconcile(now, name, sortedKeys(c.endpoints))
}

// Endpoints takes in all endpoints of a cluster. An address named twice counts once, with its worse health. The error
// tells that there are more of clusters not yet named than are kept; nothing of this call is then taken.
func (m *Model) SetEndpoints(now control.Micros, name string, list []Endpoint) error {
	c := m.clusters[name]
	if c == nil || !c.announced {
		before := 0
		if c != nil {
			before = len(c.endpoints)
		}
		if m.orphanEndpoints-before+len(list) > m.bounds.MaxOrphans {
			return fmt.Errorf("cluster %s is not known, and there are too many endpoints of such clusters", name)
		}
	}
	c = m.cluster(name)
	old := c.endpoints
	c.endpoints = make(map[string]Endpoint, len(list))
	for _, e := range list {
		if was, twice := c.endpoints[e.Address]; twice {
			e.Health = worse(was.Health, e.Health)
		}
		c.endpoints[e.Address] = e
	}
	m.updatePriorities(now, name, c)
	if !c.announced {
		m.orphanEndpoints += len(c.endpoints) - len(old)
		return nil
	}
	var touched []string
	for a := range old {
		if _, still := c.endpoints[a]; !still {
			touched = append(touched, a)
		}
	}
	for a, e := range c.endpoints {
		if was, known := old[a]; !known || was != e {
			touched = append(touched, a)
		}
	}
	slices.Sort(touched)
	m.reconcile(now, name, touched)
	return nil
}

// Forget drops the endpoints of a cluster that never came.
func (m *Model) ForgetCluster(name string) {
	if c := m.clusters[name]; c != nil && !c.announced {
		m.orphanEndpoints -= len(c.endpoints)
		delete(m.clusters, name)
	}
}

func (m *Model) cluster(name string) *cluster {
	c := m.clusters[name]
	if c == nil {
		c = &cluster{endpoints: map[string]Endpoint{}}
		m.clusters[name] = c
	}
	return c
}

// badness orders healths: what one cluster calls draining takes nothing new, whatever another says.
var severity = [...]int{Healthy: 0, Unknown: 1, Degraded: 2, Timeout: 3, Unhealthy: 4, Draining: 5}

func worse(a, b Health) Health {
	if severity[b] > severity[a] {
		return b
	}
	return a
}

// usable tells whether jobs may go to an endpoint by what its source says.
func (h Health) usable() bool { return severity[h] < severity[Timeout] }

// settle works out some servers anew, of which one cluster said something else: from that one and those that named them
// before, so that its cost grows with the change alone.
func (m *Model) reconcile(now control.Micros, clusterName string, addresses []string) {
	var withdrawn []*Server
	heldReturned := false
	for _, address := range addresses {
		m.dirty[address] = true
		server := m.servers[address]
		names := []string{clusterName}
		if server != nil {
			names = append(names, server.Clusters...)
			slices.Sort(names)
			names = slices.Compact(names)
		}
		var merged Endpoint
		var naming []string
		for _, name := range names {
			c := m.clusters[name]
			if c == nil || !c.announced {
				continue
			}
			endpoint, named := c.endpoints[address]
			if !named {
				continue
			}
			if len(naming) == 0 {
				merged = endpoint
			} else { // the first cluster by name tells all but these
				merged.Health, merged.StartedAt = worse(merged.Health, endpoint.Health), max(merged.StartedAt, endpoint.StartedAt)
			}
			naming = append(naming, name)
		}
		switch {
		case server == nil && len(naming) == 0:
		case len(naming) == 0:
			if server.WithdrawnAt == 0 {
				server.WithdrawnAt, server.Clusters = now, nil
				m.timed[address] = true
				withdrawn = append(withdrawn, server)
			}
		case server == nil:
			server = &Server{Endpoint: merged, Clusters: naming, FirstSeen: now, UpdatedAt: now, usable: merged.Health.usable()}
			m.servers[address] = server
			m.version++
		default:
			if server.WithdrawnAt > 0 || server.Endpoint != merged {
				m.version++
				server.UpdatedAt = now
			}
			heldReturned = heldReturned || server.Held
			server.Endpoint, server.Clusters, server.WithdrawnAt, server.Held = merged, naming, 0, false
			m.recordUsability(now, server, merged.Health.usable())
		}
	}
	if heldReturned {
		m.shortenHold(now)
	}
	if m.batching {
		m.batchWithdrawn = append(m.batchWithdrawn, withdrawn...)
	} else {
		m.judgeWithdrawals(now, withdrawn)
	}
}

// mostAreBack looks, once servers that were kept are named again, whether those that still are not are few enough to have
// been withdrawn by intent.
func (m *Model) shortenHold(now control.Micros) {
	var held []*Server
	usable := 0
	for _, server := range m.servers {
		if server.Held {
			held = append(held, server)
		}
		if server.Health.usable() && (server.WithdrawnAt == 0 || server.Held) {
			usable++
		}
	}
	if float64(len(held)) > m.bounds.MassWithdrawalShare*float64(usable) {
		return
	}
	for _, server := range held {
		server.heldUntil = min(server.heldUntil, now+m.bounds.SettleTime)
	}
}

// Together takes in several things that were said in one breath: servers that one of them withdraws and another names are
// not withdrawn, and what all of them withdraw counts as one.
func (m *Model) Batch(now control.Micros, apply func()) {
	m.batching = true
	apply()
	m.batching = false
	withdrawn := slices.DeleteFunc(m.batchWithdrawn, func(apply *Server) bool { return apply.WithdrawnAt == 0 })
	m.batchWithdrawn = nil
	m.judgeWithdrawals(now, withdrawn)
}

// changed notes a change between usable and not, and whether there were too many.
func (m *Model) recordUsability(now control.Micros, server *Server, usable bool) {
	if server.usable == usable {
		return
	}
	server.usable = usable
	server.transitions = append(notBefore(server.transitions, now-m.bounds.StableTime), now)
	if len(server.transitions) >= m.bounds.FlapLimit && !server.Flapping {
		server.Flapping = true
		m.timed[server.Address] = true
		m.logf("server %s comes and goes: it gets nothing until it is calm", server.Address)
	}
}

func notBefore(times []control.Micros, from control.Micros) []control.Micros {
	i := 0
	for i < len(times) && times[i] < from {
		i++
	}
	return times[i:]
}

// withdraw decides about servers that no cluster names any more. Those that could not be used anyway are gone. Of the
// others a few at a time are gone at once; where in one moment more than the told share go, all of that moment stay.
func (m *Model) judgeWithdrawals(now control.Micros, withdrawn []*Server) {
	withdrawn = slices.DeleteFunc(withdrawn, func(f *Server) bool {
		if !f.Health.usable() {
			m.remove(now, f)
			return true
		}
		return false
	})
	if len(withdrawn) == 0 {
		return
	}
	m.recentlyWithdrawn = slices.DeleteFunc(m.recentlyWithdrawn, func(f *Server) bool { return f.WithdrawnAt == 0 || f.WithdrawnAt < now-m.bounds.WithdrawalWindow }) // some are back
	m.recentlyWithdrawn = append(m.recentlyWithdrawn, withdrawn...)
	if len(m.recentlyWithdrawn) <= m.bounds.MassWithdrawalMin { // as it mostly is: then nothing need be counted
		for _, f := range withdrawn {
			m.remove(now, f)
		}
		return
	}
	before := 0
	for _, f := range m.servers {
		if f.Health.usable() && (f.WithdrawnAt == 0 || f.Held || f.WithdrawnAt == now) {
			before++
		}
	}
	for _, f := range m.recentlyWithdrawn { // as many as there were before this moment
		if !f.Held && !slices.Contains(withdrawn, f) {
			before++
		}
	}
	if float64(len(m.recentlyWithdrawn)) > m.bounds.MassWithdrawalShare*float64(before) {
		m.logf("%d of %d servers are withdrawn at once: they are kept for %d us", len(m.recentlyWithdrawn), before, m.bounds.HoldTime)
		for _, f := range withdrawn {
			f.Held, f.heldUntil = true, now+m.bounds.HoldTime
		}
		m.version++
		return
	}
	for _, f := range withdrawn {
		m.remove(now, f)
	}
}

// drop has a server gone. Its fact stays for as long as it could flap.
func (m *Model) remove(now control.Micros, server *Server) {
	server.Held = false
	m.dirty[server.Address] = true
	m.recordUsability(now, server, false)
	m.version++
}

// Tick ends what has lasted long enough: what was held is believed gone, what flapped is calm. It gives when it must be
// called again; 0: when something changes.
func (m *Model) Tick(now control.Micros) (next control.Micros) {
	wakeAt := func(at control.Micros) {
		if next == 0 || at < next {
			next = at
		}
	}
	expired := 0
	for _, address := range sortedKeys(m.timed) {
		server := m.servers[address]
		// A source that is down can't take back what it said: the time counts only while it is up.
		if server.Held && m.sourceDownSince == 0 {
			if now >= server.heldUntil {
				m.remove(now, server)
				expired++
			} else {
				wakeAt(server.heldUntil)
			}
		}
		if n := len(server.transitions); server.Flapping && n > 0 {
			if stableAt := server.transitions[n-1] + m.bounds.StableTime; now >= stableAt {
				server.Flapping, server.transitions = false, nil
				m.dirty[address] = true
				m.version++
			} else {
				wakeAt(stableAt)
			}
		}
		if server.WithdrawnAt > 0 && !server.Held && !server.Flapping && now >= server.WithdrawnAt+m.bounds.StableTime {
			delete(m.servers, address)
			delete(m.timed, address)
		} else if server.WithdrawnAt > 0 && !server.Held {
			wakeAt(server.WithdrawnAt + m.bounds.StableTime)
		} else if server.WithdrawnAt == 0 && !server.Flapping {
			delete(m.timed, address)
		}
	}
	m.releasePriorities(now, wakeAt)
	if m.version != m.takenVersion && m.takenAt > 0 {
		wakeAt(max(now, m.nextUpdateAt()))
	}
	if expired > 0 {
		m.logf("%d servers stayed withdrawn: they are believed gone", expired)
	}
	return next
}

func sortedKeys[T any](byKey map[string]T) []string {
	keys := make([]string, 0, len(byKey))
	for k := range byKey {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// pausePer is the pause between two tellings of the list, for each server on it: to tell one takes some 0.5 us a server, so a
// source that changes all the time costs at most a quarter of a processor, and 10 000 servers wait no longer than 20 ms.
const updatePausePerServer = control.Micros(2)

// News gives what differs from the list as it was last given, the first time all of it, unless that was a moment ago; Tick then
// tells when to ask again.
func (m *Model) TakeUpdate(now control.Micros) (update fleet.Update, changed bool) {
	if m.version == m.takenVersion || m.takenAt > 0 && now < m.nextUpdateAt() {
		return fleet.Update{}, false
	}
	m.takenVersion, m.takenAt = m.version, now
	update = m.changedEndpoints()
	clear(m.dirty)
	return update, true
}

func (m *Model) changedEndpoints() (list fleet.Update) {
	if m.published == nil {
		m.published = map[string]fleet.Endpoint{}
		list = fleet.Update{Full: true, Endpoints: m.List()}
		for _, e := range list.Endpoints {
			m.published[e.Address] = e
		}
		return list
	}
	for _, address := range sortedKeys(m.dirty) {
		was, known := m.published[address]
		is, listed := m.listed(m.servers[address])
		switch {
		case listed && is != was:
			m.published[address] = is
			list.Endpoints = append(list.Endpoints, is)
		case !listed && known:
			delete(m.published, address)
			was.State = control.Removed
			list.Endpoints = append(list.Endpoints, was)
		}
	}
	return list
}

func (m *Model) nextUpdateAt() control.Micros {
	return m.takenAt + updatePausePerServer*control.Micros(len(m.servers))
}

// Version counts the changes of the list.
func (m *Model) Version() uint64 { return m.version }

// List gives the servers as the module is to be told, by address: those that are usable as ready, those that are not as
// draining, and none that are gone.
func (m *Model) List() []fleet.Endpoint {
	list := make([]fleet.Endpoint, 0, len(m.servers))
	for _, f := range m.servers {
		if e, listed := m.listed(f); listed {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b fleet.Endpoint) int { return cmp.Compare(a.Address, b.Address) })
	return list
}

// entry gives a server as the module is to be told, where it is on the list.
func (m *Model) listed(server *Server) (endpoint fleet.Endpoint, ok bool) {
	if server == nil || server.WithdrawnAt > 0 && !server.Held {
		return fleet.Endpoint{}, false
	}
	endpoint = fleet.Endpoint{Address: server.Address, State: control.Ready, Zone: server.Zone, Cell: server.Cell, Weight: weight(server.Endpoint), StartedAt: server.StartedAt}
	if !server.Health.usable() || server.Flapping || m.inReserve(server) {
		endpoint.State = control.Draining
	}
	return endpoint, true
}

// power is a server's share of work by its weight. Envoy's weights are relative; hundred is commonly meant for one whole. A
// degraded endpoint is to get little while others are well.
func weight(endpoint Endpoint) float64 {
	weight := 1.0
	if endpoint.Weight > 0 {
		weight = float64(endpoint.Weight) / 100
	}
	if endpoint.Health == Degraded {
		weight /= 10
	}
	return min(max(weight, 0.001), 1e6)
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
