package modelserver

import (
	"cmp"

	"hollymast/control"
	"hollymast/internal/invariant"
)

// replicas are the replicas of one function.
type replicas struct {
	loaded, loading int
	freeLanes       int
	busy            int // executions that wait or run
	lastUsed        control.Micros
	queue           []*execution // executions that wait for a lane
}

func (r *replicas) total() int { return r.loaded + r.loading }

// maxReplicasPerLoad limits the replicas that one load command may add; larger commands are rejected.
const maxReplicasPerLoad = 16

// Load executes a load command: it loads replicas until the server holds count of them. It calls respond when they are loaded, or
// if they do not fit.
func (s *Server) Load(function string, count, router int, respond func(Response)) {
	s.log(invariant.Record{Kind: invariant.LoadCommandReceived, Server: s.config.Number, Router: router})
	exchange := s.openExchange(respond)
	if s.faults.Unresponsive {
		return
	}
	r, held, loaded := s.functions[function], 0, 0
	if r != nil {
		held, loaded = r.total(), r.loaded
	}
	if count <= held {
		s.endExchange(exchange, Response{Replicas: loaded})
		return
	}
	if r = s.reserve(function, count-held); r == nil {
		s.endExchange(exchange, Response{Result: Overloaded, Reason: reasonNoRoom})
		return
	}
	s.startLoad(r, count-held, func() { s.endExchange(exchange, Response{Replicas: r.loaded}) })
}

// reserve evicts other functions to make room for new replicas and registers a pending load. It returns nil if not enough memory
// can be freed or too many loads are pending.
func (s *Server) reserve(function string, count int) *replicas {
	if s.pendingLoads >= 2*s.config.MaxConcurrentLoads || count > maxReplicasPerLoad || !s.evictFor(function, count) {
		return nil
	}
	r := s.functions[function]
	if r == nil {
		r = &replicas{}
		s.functions[function] = r
	}
	r.loading += count
	s.pendingLoads++
	return r
}

// evictFor evicts other functions, the least recently used first, until the replicas fit. It returns false if not enough can be
// evicted; what has been evicted until then stays evicted.
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

// leastRecentlyUsed returns the idle function to evict for another one; empty if there is none.
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

// startLoad loads reserved replicas and calls done when they are loaded.
func (s *Server) startLoad(r *replicas, count int, done func()) {
	s.log(invariant.Record{Kind: invariant.LoadStarted, Server: s.config.Number})
	incarnation := s.incarnation
	s.source.Fetch(func() {
		if s.incarnation != incarnation {
			return
		}
		s.after(s.config.LoadTime, func() {
			s.pendingLoads--
			r.loading -= count
			r.loaded += count
			r.freeLanes += count * s.config.Lanes
			r.lastUsed = s.clock.Now()
			s.dispatch(r)
			done()
		})
	})
}
