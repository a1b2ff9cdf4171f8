package modelserver

import (
	"maps"
	"strings"

	"hollymast/control"
)

// keyEntry is the state of the first request with an idempotency key.
type keyEntry struct {
	arrivedAt control.Micros
	ended     bool
	waiting   []uint64 // exchanges of duplicates that arrived before it ended
}

// keyCleanupThreshold is the number of idempotency keys above which expired ones are removed.
const keyCleanupThreshold = 10_000

// isDuplicate reports whether an execution's idempotency key has been seen within the deduplication window. If not, it remembers
// the key, unless the execution has none or its prefix is excluded.
func (s *Server) isDuplicate(x *execution) bool {
	prefix := s.config.NoDedupPrefix
	if x.key == "" || prefix != "" && strings.HasPrefix(x.key, prefix) {
		return false
	}
	now := s.clock.Now()
	if len(s.keys) > keyCleanupThreshold {
		maps.DeleteFunc(s.keys, func(_ string, k *keyEntry) bool { return now-k.arrivedAt > s.config.DedupWindow })
	}
	if original := s.keys[x.key]; original != nil && now-original.arrivedAt <= s.config.DedupWindow {
		x.keyEntry = original
		return true
	}
	x.keyEntry = &keyEntry{arrivedAt: now}
	s.keys[x.key] = x.keyEntry
	return false
}

// awaitOriginal answers a duplicate if the original request has ended; otherwise it registers the duplicate to be answered then.
func (s *Server) awaitOriginal(x *execution) {
	if x.keyEntry.ended {
		s.endExchange(x.exchange, Response{CacheStatus: control.CacheHit})
		return
	}
	x.keyEntry.waiting = append(x.keyEntry.waiting, x.exchange)
}

// forgetKey removes the idempotency key of a request that did not run, and rejects the duplicates that wait for it.
func (s *Server) forgetKey(x *execution) {
	if x.keyEntry == nil {
		return
	}
	if s.keys[x.key] == x.keyEntry {
		delete(s.keys, x.key)
	}
	s.endDuplicates(x.keyEntry, Response{Result: Overloaded, Reason: reasonOriginalNotRun})
}

func (s *Server) endDuplicates(original *keyEntry, response Response) {
	for _, exchange := range original.waiting {
		s.endExchange(exchange, response)
	}
	original.waiting = nil
}
