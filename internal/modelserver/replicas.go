package modelserver

import (
	"cmp"

	"hollymast/control"
	"hollymast/internal/invariant"
)

// replicas are the loaded copies of one function.
type replicas struct {
	loaded, loading int
	freeLanes       int
	busy            int // executions that wait or run
	lastUsed        control.Micros
	queue           []*execution // wait for a lane
}

func (r *replicas) total() int { return r.loaded + r.loading }

// maxReplicasPerLoad bounds the replicas of one load command; larger ones are rejected.
const maxReplicasPerLoad = 16

// Load has the server hold as many replicas as a load command asks for; respond is called when they are loaded or can't be.
func (s *Server) Load(function string, count, router int, respond func(Response)) {
	s.log(invariant.Record{Kind: invariant.LoadCommandReceived, Server: s.config.Number, Router: router})
	exchange := s.open(respond)
	if s.faults.Unresponsive {
		return
	}
	r, held, loaded := s.functions[function], 0, 0
	if r != nil {
		held, loaded = r.total(), r.loaded
	}
	if count <= held {
		s.end(exchange, Response{Replicas: loaded})
		return
	}
	if r = s.reserve(function, count-held); r == nil {
		s.end(exchange, Response{Result: Overloaded, Reason: reasonNoRoom})
		return
	}
	s.beginLoad(r, count-held, func() { s.end(exchange, Response{Replicas: r.loaded}) })
}

// reserve makes room for replicas and counts their load; nil where memory is pinned or too many loads wait.
func (s *Server) reserve(function string, count int) *replicas {
	if s.loading >= 2*s.config.MaxConcurrentLoads || count > maxReplicasPerLoad || !s.evictFor(function, count) {
		return nil
	}
	r := s.functions[function]
	if r == nil {
		r = &replicas{}
		s.functions[function] = r
	}
	r.loading += count
	s.loading++
	return r
}

// evictFor evicts other functions, the least recently used first, until the replicas fit; false where too little can be evicted. What
// was evicted until then stays so.
func (s *Server) evictFor(function string, count int) bool {
	total := count
	for _, r := range s.functions {
		total += r.total()
	}
	for total > s.config.MaxReplicas {
		victim := s.leastRecentlyUsed(function)
		if victim == "" {
			return false
		}
		total -= s.functions[victim].loaded
		delete(s.functions, victim)
	}
	return true
}

// leastRecentlyUsed returns the idle function to evict for another, empty where there is none.
func (s *Server) leastRecentlyUsed(except string) string {
	victim, now := "", s.clock.Now()
	for name, r := range s.functions {
		if r.busy > 0 || r.loading > 0 || now-r.lastUsed < s.config.KeepAlive || name == except {
			continue
		}
		if v := s.functions[victim]; v == nil || cmp.Or(cmp.Compare(r.lastUsed, v.lastUsed), cmp.Compare(name, victim)) < 0 {
			victim = name
		}
	}
	return victim
}

// beginLoad loads reserved replicas and calls done once they are loaded.
func (s *Server) beginLoad(r *replicas, count int, done func()) {
	s.log(invariant.Record{Kind: invariant.LoadStarted, Server: s.config.Number})
	incarnation := s.incarnation
	s.source.Fetch(func() {
		if s.incarnation != incarnation {
			return
		}
		s.after(s.config.LoadTime, func() {
			s.loading--
			r.loading -= count
			r.loaded += count
			r.freeLanes += count * s.config.Lanes
			r.lastUsed = s.clock.Now()
			s.dispatch(r)
			done()
		})
	})
}
