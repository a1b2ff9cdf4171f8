package certstore

import (
	"errors"
	"maps"

	"hollymast/control"
	"hollymast/internal/tlspolicy"
)

// Stats holds a store's counters since it was opened, and the expiry of its certificate.
type Stats struct {
	Handshakes       uint64                      // successful ones
	RejectedPeers    map[tlspolicy.Reason]uint64 // in handshakes and on open connections
	FailedHandshakes uint64                      // that failed for reasons other than a rejected peer
	ExpiresAt        control.Micros              // of the certificate in service, wall clock; 0: there is none
}

// Stats returns a copy of the counters and the certificate's expiry.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.RejectedPeers = maps.Clone(s.stats.RejectedPeers)
	stats.ExpiresAt = s.identity.ExpiresAt()
	return stats
}

// countRejectedLocked counts a verifier's error by its reason. The lock is held.
func (s *Store) countRejectedLocked(err error) {
	var rejected *tlspolicy.PeerError
	if errors.As(err, &rejected) {
		s.stats.RejectedPeers[rejected.Reason]++
	}
}
