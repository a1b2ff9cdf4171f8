package modelserver

import (
	"maps"
	"strings"

	"hollymast/control"
)

// keyedRequest is what is known of the first request with an idempotency key.
type keyedRequest struct {
	arrivedAt control.Micros
	ended     bool
	waiting   []uint64 // exchanges of retries that came before its end
}

// maxKeys is the number of idempotency keys beyond which those whose window is over are removed.
const maxKeys = 10_000

// joinsEarlier reports whether an execution's idempotency key is known within its window. Otherwise it notes the key, where keys
// are kept at all.
func (s *Server) joinsEarlier(x *execution) bool {
	prefix := s.config.NoDedupPrefix
	if x.key == "" || prefix != "" && strings.HasPrefix(x.key, prefix) {
		return false
	}
	now := s.clock.Now()
	if len(s.keys) > maxKeys {
		maps.DeleteFunc(s.keys, func(_ string, k *keyedRequest) bool { return now-k.arrivedAt > s.config.DedupWindow })
	}
	if first := s.keys[x.key]; first != nil && now-first.arrivedAt <= s.config.DedupWindow {
		x.keyed = first
		return true
	}
	x.keyed = &keyedRequest{arrivedAt: now}
	s.keys[x.key] = x.keyed
	return false
}

// awaitFirst ends a retry as its first request ended, or has it wait for that.
func (s *Server) awaitFirst(x *execution) {
	if x.keyed.ended {
		s.end(x.exchange, Response{CacheStatus: control.CacheHit})
		return
	}
	x.keyed.waiting = append(x.keyed.waiting, x.exchange)
}

// forgetKey drops the idempotency key of a request that did not run, and rejects the retries that wait for it.
func (s *Server) forgetKey(x *execution) {
	if x.keyed == nil {
		return
	}
	if s.keys[x.key] == x.keyed {
		delete(s.keys, x.key)
	}
	s.endWaiting(x.keyed, Response{Result: Overloaded, Reason: reasonFirstLost})
}

func (s *Server) endWaiting(first *keyedRequest, response Response) {
	for _, exchange := range first.waiting {
		s.end(exchange, response)
	}
	first.waiting = nil
}
