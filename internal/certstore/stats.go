package certstore

import (
	"errors"
	"maps"

	"hollymast/control"
	"hollymast/internal/tlspolicy"
)

// Stats are a store's counters since it was opened, and its certificate's expiry.
type Stats struct {
	Handshakes       uint64                      // with success
	RejectedPeers    map[tlspolicy.Reason]uint64 // in handshakes and later
	FailedHandshakes uint64                      // for other reasons
	ExpiresAt        control.Micros              // of the certificate in service, wall clock; 0: there is none
}

// Stats returns the counters.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.RejectedPeers = maps.Clone(s.stats.RejectedPeers)
	stats.ExpiresAt = s.identity.ExpiresAt()
	return stats
}

// countRejectedLocked counts an error of the verifier.
func (s *Store) countRejectedLocked(err error) {
	var rejected *tlspolicy.PeerError
	if errors.As(err, &rejected) {
		s.stats.RejectedPeers[rejected.Reason]++
	}
}
