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
	changes     []control.Micros
	usable      bool
	until       control.Micros // of Held
}

// cluster is what a source says of one cluster.
type cluster struct {
	named     bool // else only its endpoints came so far
	endpoints map[string]Endpoint
	reserve   reserve
}

// Members is the model. It is for one goroutine.
type Model struct {
	bounds   Bounds
	clusters map[string]*cluster
	facts    map[string]*Server // by address
	watched  map[string]bool    // of facts: those that time changes
	calming  map[string]bool    // clusters with more levels in use than needed
	together bool               // what is withdrawn waits in pending
	pending  []*Server
	orphans  int
	broken   control.Micros // since when the source is down; 0: it is up
	lost     []*Server      // usable servers withdrawn lately
	version  uint64         // of the list, one more with each change
	given    uint64         // the version last given
	givenAt  control.Micros
	told     map[string]fleet.Endpoint // as last given; nil: nothing was
	stale    map[string]bool           // addresses whose entry may differ from that
	notes    []string
}

// New gives a model that knows nothing.
func New(b Bounds) *Model {
	return &Model{bounds: b, clusters: map[string]*cluster{}, facts: map[string]*Server{}, watched: map[string]bool{}, calming: map[string]bool{},
		stale: map[string]bool{}}
}

// Source tells whether the source is up. While it is down all stands as it last said.
func (m *Model) Source(now control.Micros, up bool) {
	switch {
	case up && m.broken > 0:
		m.note("the source of the list is back after %d us", now-m.broken)
		m.broken = 0
	case !up && m.broken == 0:
		m.note("the source of the list is down: the list stands as it was")
		m.broken = now
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
		for _, name := range sorted(m.clusters) {
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
	if c.named {
		return
	}
	c.named = true
	m.orphans -= len(c.endpoints)
	m.settle(now, name, sorted(c.endpoints))
}

// RemoveCluster takes in that there is no such cluster any more.
func (m *Model) RemoveCluster(now control.Micros, name string) {
	c := m.clusters[name]
	if c == nil || !c.named {
		return
	}
	delete(m.clusters, name)
	m.settle(now, name, sorted(c.endpoints))
}

// Endpoints takes in all endpoints of a cluster. An address named twice counts once, with its worse health. The error
// tells that there are more of clusters not yet named than are kept; nothing of this call is then taken.
func (m *Model) SetEndpoints(now control.Micros, name string, list []Endpoint) error {
	c := m.clusters[name]
	if c == nil || !c.named {
		before := 0
		if c != nil {
			before = len(c.endpoints)
		}
		if m.orphans-before+len(list) > m.bounds.MaxOrphans {
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
	m.weigh(now, name, c)
	if !c.named {
		m.orphans += len(c.endpoints) - len(old)
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
	m.settle(now, name, touched)
	return nil
}

// Forget drops the endpoints of a cluster that never came.
func (m *Model) ForgetCluster(name string) {
	if c := m.clusters[name]; c != nil && !c.named {
		m.orphans -= len(c.endpoints)
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
var badness = [...]int{Healthy: 0, Unknown: 1, Degraded: 2, Timeout: 3, Unhealthy: 4, Draining: 5}

func worse(a, b Health) Health {
	if badness[b] > badness[a] {
		return b
	}
	return a
}

// usable tells whether jobs may go to an endpoint by what its source says.
func (h Health) usable() bool { return badness[h] < badness[Timeout] }

// settle works out some servers anew, of which one cluster said something else: from that one and those that named them
// before, so that its cost grows with the change alone.
func (m *Model) settle(now control.Micros, changed string, touched []string) {
	var withdrawn []*Server
	back := false
	for _, a := range touched {
		m.stale[a] = true
		f := m.facts[a]
		names := []string{changed}
		if f != nil {
			names = append(names, f.Clusters...)
			slices.Sort(names)
			names = slices.Compact(names)
		}
		var e Endpoint
		var in []string
		for _, name := range names {
			c := m.clusters[name]
			if c == nil || !c.named {
				continue
			}
			x, there := c.endpoints[a]
			if !there {
				continue
			}
			if len(in) == 0 {
				e = x
			} else { // the first cluster by name tells all but these
				e.Health, e.StartedAt = worse(e.Health, x.Health), max(e.StartedAt, x.StartedAt)
			}
			in = append(in, name)
		}
		switch {
		case f == nil && len(in) == 0:
		case len(in) == 0:
			if f.WithdrawnAt == 0 {
				f.WithdrawnAt, f.Clusters = now, nil
				m.watched[a] = true
				withdrawn = append(withdrawn, f)
			}
		case f == nil:
			f = &Server{Endpoint: e, Clusters: in, FirstSeen: now, UpdatedAt: now, usable: e.Health.usable()}
			m.facts[a] = f
			m.version++
		default:
			if f.WithdrawnAt > 0 || f.Endpoint != e {
				m.version++
				f.UpdatedAt = now
			}
			back = back || f.Held
			f.Endpoint, f.Clusters, f.WithdrawnAt, f.Held = e, in, 0, false
			m.changed(now, f, e.Health.usable())
		}
	}
	if back {
		m.mostAreBack(now)
	}
	if m.together {
		m.pending = append(m.pending, withdrawn...)
	} else {
		m.withdraw(now, withdrawn)
	}
}

// mostAreBack looks, once servers that were kept are named again, whether those that still are not are few enough to have
// been withdrawn by intent.
func (m *Model) mostAreBack(now control.Micros) {
	var held []*Server
	there := 0
	for _, f := range m.facts {
		if f.Held {
			held = append(held, f)
		}
		if f.Health.usable() && (f.WithdrawnAt == 0 || f.Held) {
			there++
		}
	}
	if float64(len(held)) > m.bounds.MassWithdrawalShare*float64(there) {
		return
	}
	for _, f := range held {
		f.until = min(f.until, now+m.bounds.SettleTime)
	}
}

// Together takes in several things that were said in one breath: servers that one of them withdraws and another names are
// not withdrawn, and what all of them withdraw counts as one.
func (m *Model) Batch(now control.Micros, f func()) {
	m.together = true
	f()
	m.together = false
	fs := slices.DeleteFunc(m.pending, func(f *Server) bool { return f.WithdrawnAt == 0 })
	m.pending = nil
	m.withdraw(now, fs)
}

// changed notes a change between usable and not, and whether there were too many.
func (m *Model) changed(now control.Micros, f *Server, usable bool) {
	if f.usable == usable {
		return
	}
	f.usable = usable
	f.changes = append(recent(f.changes, now-m.bounds.StableTime), now)
	if len(f.changes) >= m.bounds.FlapLimit && !f.Flapping {
		f.Flapping = true
		m.watched[f.Address] = true
		m.note("server %s comes and goes: it gets nothing until it is calm", f.Address)
	}
}

func recent(ts []control.Micros, from control.Micros) []control.Micros {
	i := 0
	for i < len(ts) && ts[i] < from {
		i++
	}
	return ts[i:]
}

// withdraw decides about servers that no cluster names any more. Those that could not be used anyway are gone. Of the
// others a few at a time are gone at once; where in one moment more than the told share go, all of that moment stay.
func (m *Model) withdraw(now control.Micros, fs []*Server) {
	fs = slices.DeleteFunc(fs, func(f *Server) bool {
		if !f.Health.usable() {
			m.drop(now, f)
			return true
		}
		return false
	})
	if len(fs) == 0 {
		return
	}
	m.lost = slices.DeleteFunc(m.lost, func(f *Server) bool { return f.WithdrawnAt == 0 || f.WithdrawnAt < now-m.bounds.WithdrawalWindow }) // some are back
	m.lost = append(m.lost, fs...)
	if len(m.lost) <= m.bounds.MassWithdrawalMin { // as it mostly is: then nothing need be counted
		for _, f := range fs {
			m.drop(now, f)
		}
		return
	}
	there := 0
	for _, f := range m.facts {
		if f.Health.usable() && (f.WithdrawnAt == 0 || f.Held || f.WithdrawnAt == now) {
			there++
		}
	}
	for _, f := range m.lost { // as many as there were before this moment
		if !f.Held && !slices.Contains(fs, f) {
			there++
		}
	}
	if float64(len(m.lost)) > m.bounds.MassWithdrawalShare*float64(there) {
		m.note("%d of %d servers are withdrawn at once: they are kept for %d us", len(m.lost), there, m.bounds.HoldTime)
		for _, f := range fs {
			f.Held, f.until = true, now+m.bounds.HoldTime
		}
		m.version++
		return
	}
	for _, f := range fs {
		m.drop(now, f)
	}
}

// drop has a server gone. Its fact stays for as long as it could flap.
func (m *Model) drop(now control.Micros, f *Server) {
	f.Held = false
	m.stale[f.Address] = true
	m.changed(now, f, false)
	m.version++
}

// Tick ends what has lasted long enough: what was held is believed gone, what flapped is calm. It gives when it must be
// called again; 0: when something changes.
func (m *Model) Tick(now control.Micros) (next control.Micros) {
	wake := func(at control.Micros) {
		if next == 0 || at < next {
			next = at
		}
	}
	held := 0
	for _, a := range sorted(m.watched) {
		f := m.facts[a]
		// A source that is down can't take back what it said: the time counts only while it is up.
		if f.Held && m.broken == 0 {
			if now >= f.until {
				m.drop(now, f)
				held++
			} else {
				wake(f.until)
			}
		}
		if n := len(f.changes); f.Flapping && n > 0 {
			if calm := f.changes[n-1] + m.bounds.StableTime; now >= calm {
				f.Flapping, f.changes = false, nil
				m.stale[a] = true
				m.version++
			} else {
				wake(calm)
			}
		}
		if f.WithdrawnAt > 0 && !f.Held && !f.Flapping && now >= f.WithdrawnAt+m.bounds.StableTime {
			delete(m.facts, a)
			delete(m.watched, a)
		} else if f.WithdrawnAt > 0 && !f.Held {
			wake(f.WithdrawnAt + m.bounds.StableTime)
		} else if f.WithdrawnAt == 0 && !f.Flapping {
			delete(m.watched, a)
		}
	}
	m.relieve(now, wake)
	if m.version != m.given && m.givenAt > 0 {
		wake(max(now, m.nextNews()))
	}
	if held > 0 {
		m.note("%d servers stayed withdrawn: they are believed gone", held)
	}
	return next
}

func sorted[T any](by map[string]T) []string {
	keys := make([]string, 0, len(by))
	for k := range by {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// pausePer is the pause between two tellings of the list, for each server on it: to tell one takes some 0.5 us a server, so a
// source that changes all the time costs at most a quarter of a processor, and 10 000 servers wait no longer than 20 ms.
const pausePer = control.Micros(2)

// News gives what differs from the list as it was last given, the first time all of it, unless that was a moment ago; Tick then
// tells when to ask again.
func (m *Model) TakeUpdate(now control.Micros) (list fleet.Update, news bool) {
	if m.version == m.given || m.givenAt > 0 && now < m.nextNews() {
		return fleet.Update{}, false
	}
	m.given, m.givenAt = m.version, now
	list = m.differing()
	clear(m.stale)
	return list, true
}

func (m *Model) differing() (list fleet.Update) {
	if m.told == nil {
		m.told = map[string]fleet.Endpoint{}
		list = fleet.Update{Full: true, Endpoints: m.List()}
		for _, e := range list.Endpoints {
			m.told[e.Address] = e
		}
		return list
	}
	for _, a := range sorted(m.stale) {
		was, known := m.told[a]
		is, listed := m.entry(m.facts[a])
		switch {
		case listed && is != was:
			m.told[a] = is
			list.Endpoints = append(list.Endpoints, is)
		case !listed && known:
			delete(m.told, a)
			was.State = control.Removed
			list.Endpoints = append(list.Endpoints, was)
		}
	}
	return list
}

func (m *Model) nextNews() control.Micros { return m.givenAt + pausePer*control.Micros(len(m.facts)) }

// Version counts the changes of the list.
func (m *Model) Version() uint64 { return m.version }

// List gives the servers as the module is to be told, by address: those that are usable as ready, those that are not as
// draining, and none that are gone.
func (m *Model) List() []fleet.Endpoint {
	list := make([]fleet.Endpoint, 0, len(m.facts))
	for _, f := range m.facts {
		if e, listed := m.entry(f); listed {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b fleet.Endpoint) int { return cmp.Compare(a.Address, b.Address) })
	return list
}

// entry gives a server as the module is to be told, where it is on the list.
func (m *Model) entry(f *Server) (e fleet.Endpoint, listed bool) {
	if f == nil || f.WithdrawnAt > 0 && !f.Held {
		return fleet.Endpoint{}, false
	}
	e = fleet.Endpoint{Address: f.Address, State: control.Ready, Zone: f.Zone, Cell: f.Cell, Weight: power(f.Endpoint), StartedAt: f.StartedAt}
	if !f.Health.usable() || f.Flapping || m.inReserve(f) {
		e.State = control.Draining
	}
	return e, true
}

// power is a server's share of work by its weight. Envoy's weights are relative; hundred is commonly meant for one whole. A
// degraded endpoint is to get little while others are well.
func power(e Endpoint) float64 {
	p := 1.0
	if e.Weight > 0 {
		p = float64(e.Weight) / 100
	}
	if e.Health == Degraded {
		p /= 10
	}
	return min(max(p, 0.001), 1e6)
}

// Facts gives what is known of every server, by address.
func (m *Model) Servers() []Server {
	var fs []Server
	for _, a := range sorted(m.facts) {
		f := *m.facts[a]
		f.changes = nil
		fs = append(fs, f)
	}
	return fs
}

// Broken tells since when the source is down; 0: it is up.
func (m *Model) SourceDownSince() control.Micros { return m.broken }

func (m *Model) note(format string, args ...any) {
	m.notes = append(m.notes, fmt.Sprintf(format, args...))
}

// Notes gives what is to be told operators since the last call.
func (m *Model) TakeLogLines() []string {
	notes := m.notes
	m.notes = nil
	return notes
}
