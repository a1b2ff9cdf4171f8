package control

import "slices"

// This file applies the endpoint list and holds the state of each server.

// UpdateEndpoints applies an update of the endpoint list. A later StartedAt than the known one means that the server
// restarted: it holds no replicas and is in slow start. A failed update keeps the list and makes Maintain ask for a
// new subscription.
func (b *Balancer) UpdateEndpoints(now Micros, kind UpdateKind, endpoints []Endpoint) {
	if kind == FailedUpdate {
		b.subscribed = false
		return
	}
	b.recordCapacity(now)
	previous := b.index.updatedAt
	b.index.updatedAt = now
	if kind != IncrementalUpdate {
		for s := range b.servers.all {
			s.listed = false
		}
	}
	for _, ep := range endpoints {
		s := b.servers.find(ep.Server)
		if s == nil {
			s = &server{Endpoint: Endpoint{Server: ep.Server}, lastAnswer: now, readyIndex: -1}
			b.servers.insert(s)
		} else if ep.StartedAt > s.StartedAt {
			b.dropInstances(s, ep.StartedAt)
			s.resetAfterRestart(now)
		}
		s.Endpoint, s.listed = ep, true
	}
	if kind == IncrementalUpdate {
		for _, ep := range endpoints {
			b.reindexServer(previous, b.servers.find(ep.Server))
		}
		return
	}
	for s := range b.servers.all {
		if !s.listed {
			s.State = Removed
		}
		b.reindexServer(previous, s)
	}
}

// dropInstances forgets the replicas on a server that were last used, and began to load, before startedAt: a restarted
// server holds none of them.
func (b *Balancer) dropInstances(s *server, startedAt Micros) {
	for _, f := range s.functions {
		if inst := f.instanceOn(s, false); inst != nil && max(inst.lastUsed, inst.loadingSince) < startedAt {
			inst.replicas, inst.loading = 0, 0
		}
	}
}

// server is the balancer's state for one server: its entry in the endpoint list and what was observed of it.
type server struct {
	Endpoint
	slowStartSince  Micros      // StartedAt while the server is in index.slowStart, else 0
	slowStartWeight milliWeight // its weight in index.slowStart

	listed           bool        // named in the latest full list or in an update since
	lastListed       Micros      // when it was last in the list, if it no longer is
	weight           float64     // its weight in the index; 0 if the server is not ready
	impaired         bool        // is in index.impaired
	readyIndex       int         // its position in index.ready, -1 if it isn't there
	present          bool        // not removed, when the index was last updated
	inRemoved        bool        // is in index.removed
	functions        []*function // functions with an instance on this server, by ID
	lastAnswer       Micros      // time of the last response, or when the server became known
	inFlight         []inFlightAttempt
	slowStartSends   []Micros // times of recent attempts, while it is in slow start
	report           LoadReport
	reportedAt       Micros
	backoffUntil     Micros // no attempts before this time, after a rejection
	loadBackoffUntil Micros // no loads before this time, after a rejected load
	// Limit on this router's concurrent attempts at the server, see adaptConcurrencyLimit; 0: not set yet.
	concurrencyLimit   float64
	running            int // attempts that execute there; those that wait for a load are not counted
	limitLoweredAt     Micros
	queueing           samples // queueing delay there, in thousandths of the requests' slack
	ejected            bool
	probeAt            Micros // when an ejected server gets its next probe request
	ejections          int    // consecutive ejections, probes that fail included
	rejections         int    // rejections and errors since its last success
	connectionFailures int    // failed connections since its last answer
}

// resetAfterRestart drops what was observed of a server's health and load before it restarted: it says nothing about
// the new process. Attempts in flight and recent sends in slow start still count.
func (s *server) resetAfterRestart(now Micros) {
	s.lastAnswer = now
	s.report, s.reportedAt = LoadReport{}, 0
	s.backoffUntil, s.loadBackoffUntil, s.rejections = 0, 0, 0
	s.concurrencyLimit, s.limitLoweredAt, s.queueing = 0, 0, samples{}
	s.ejected, s.probeAt, s.ejections, s.connectionFailures = false, 0, 0, 0
}

// inFlightAttempt is one attempt in flight.
type inFlightAttempt struct {
	request  *Request
	attempt  AttemptID
	sentAt   Micros
	toLoaded bool
}

// pendingLoads returns the number of functions for which attempts of this router on the server started a load or wait
// for one.
func (s *server) pendingLoads() int {
	n := 0
	for i, a := range s.inFlight {
		same := func(other inFlightAttempt) bool {
			return !other.toLoaded && other.request.Function == a.request.Function
		}
		if !a.toLoaded && !slices.ContainsFunc(s.inFlight[:i], same) {
			n++
		}
	}
	return n
}
