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
func (s *Server) isDuplicate(exec *execution) bool {
	prefix := s.config.NoDedupPrefix
	if exec.key == "" || prefix != "" && strings.HasPrefix(exec.key, prefix) {
		return false
	}
	now := s.clock.Now()
	if len(s.keys) > keyCleanupThreshold {
		maps.DeleteFunc(s.keys, func(_ string, k *keyEntry) bool { return now-k.arrivedAt > s.config.DedupWindow })
	}
	if original := s.keys[exec.key]; original != nil && now-original.arrivedAt <= s.config.DedupWindow {
		exec.keyEntry = original
		return true
	}
	exec.keyEntry = &keyEntry{arrivedAt: now}
	s.keys[exec.key] = exec.keyEntry
	return false
}

// awaitOriginal answers a duplicate if the original request has ended; otherwise it registers the duplicate to be answered then.
func (s *Server) awaitOriginal(exec *execution) {
	if exec.keyEntry.ended {
		s.endExchange(exec.exchange, Response{CacheStatus: control.CacheHit})
		return
	}
	exec.keyEntry.waiting = append(exec.keyEntry.waiting, exec.exchange)
}

// forgetKey removes the idempotency key of a request that did not run, and rejects the duplicates that wait for it.
func (s *Server) forgetKey(exec *execution) {
	if exec.keyEntry == nil {
		return
	}
	if s.keys[exec.key] == exec.keyEntry {
		delete(s.keys, exec.key)
	}
	s.endDuplicates(exec.keyEntry, Response{Result: Overloaded, Reason: reasonOriginalNotRun})
}

// endDuplicates answers the duplicates that wait for an original request.
func (s *Server) endDuplicates(original *keyEntry, response Response) {
	for _, exchange := range original.waiting {
		s.endExchange(exchange, response)
	}
	original.waiting = nil
}
