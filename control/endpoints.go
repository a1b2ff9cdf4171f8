package control

import (
	"cmp"
	"slices"
)

// Endpoints: the list of servers and what is known of each.

// UpdateEndpoints takes in the list of servers. A later start than the one known means an empty, cold server.
func (r *Balancer) UpdateEndpoints(now Micros, kind UpdateKind, list []Endpoint) {
	if kind == FailedUpdate {
		r.subscribed = false
		return
	}
	before := r.index.listedAt
	r.index.listedAt = now
	if kind != IncrementalUpdate {
		for _, s := range r.servers {
			s.listed = false
		}
	}
	for _, l := range list {
		i, known := r.find(l.Server)
		if !known {
			r.addServer(i, &server{Endpoint: Endpoint{Server: l.Server}, lastAnswer: now})
		}
		s := r.servers[i]
		if known && l.StartedAt > s.StartedAt {
			r.dropInstances(s, l.StartedAt)
			s.ejected, s.ejections, s.rejections, s.concurrencyLimit = false, 0, 0, 0
		}
		s.Endpoint, s.listed = l, true
	}
	if kind == IncrementalUpdate {
		for _, l := range list {
			i, _ := r.find(l.Server)
			r.reindexServer(before, r.servers[i])
		}
		return
	}
	for _, s := range r.servers {
		if !s.listed {
			s.State = Removed
		}
		r.reindexServer(before, s)
	}
}

// dropInstances drops the beliefs about a server's copies that are older than its start: a restart holds nothing.
func (r *Balancer) dropInstances(s *server, born Micros) {
	for _, f := range s.functions {
		if in := f.instanceOn(s, false); in != nil && max(in.lastUsed, in.loadingSince) < born {
			in.replicas, in.loading = 0, 0
		}
	}
}

func (r *Balancer) find(id ServerID) (int, bool) {
	return slices.BinarySearchFunc(r.servers, id,
		func(s *server, id ServerID) int { return cmp.Compare(s.Server, id) })
}

// server is what a router believes of one server.
type server struct {
	Endpoint
	listed             bool
	lastListed         Micros      // when it was last on the list, if it is not there
	weight             float64     // as the index has it: 0 where it is not ready
	questionable       bool        // is in the index's doubted
	present            bool        // as the index has it: not gone
	functions          []*function // of whose copies there something is known, by id
	lastAnswer         Micros      // last sign that it works
	inFlight           []inFlightAttempt
	slowStartSends     []Micros // recent sends, while it is cold
	report             LoadReport
	reportedAt         Micros
	backoffUntil       Micros  // after a refusal
	loadsAfter         Micros  // after a refused load
	concurrencyLimit   float64 // of its window: how many executions of ours it bears at once, see fit
	running            int     // those that run there, not those that wait for a load
	limitLoweredAt     Micros
	queueing           samples // queueing there, in thousandths of the job's slack
	ejected            bool
	probeAt            Micros // when a suspect gets its next job
	ejections          int    // times that it was found sick in a row
	rejections         int    // refusals and errors since it last finished a job
	connectionFailures int    // broken connections since then
}

// inFlightAttempt is one execution that is out.
type inFlightAttempt struct {
	request  *Request
	attempt  AttemptID
	sentAt   Micros
	toLoaded bool
}

// pendingLoads counts the functions for which our executions on a server began a load or wait for one.
func (s *server) pendingLoads() int {
	n := 0
	for i, fl := range s.inFlight {
		same := func(other inFlightAttempt) bool {
			return !other.toLoaded && other.request.Function == fl.request.Function
		}
		if !fl.toLoaded && !slices.ContainsFunc(s.inFlight[:i], same) {
			n++
		}
	}
	return n
}
