package certstore

import (
	"errors"

	"hollymast/control"
	"hollymast/internal/tlspolicy"
)

// Stats are a store's counters since it was opened, and its certificate's expiry.
type Stats struct {
	Handshakes       uint64            // with success
	RejectedPeers    map[string]uint64 // by the name of the reason, in handshakes and later
	FailedHandshakes uint64            // for other reasons
	ExpiresAt        control.Micros    // of the certificate in service, wall clock; 0: there is none
}

// counters are what Stats reports.
type counters struct {
	handshakes, failedHandshakes uint64
	rejected                     map[tlspolicy.Reason]uint64
}

// Stats returns the counters.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := Stats{
		Handshakes:       s.stats.handshakes,
		RejectedPeers:    make(map[string]uint64, len(s.stats.rejected)),
		FailedHandshakes: s.stats.failedHandshakes,
		ExpiresAt:        s.identity.ExpiresAt(),
	}
	for reason, n := range s.stats.rejected {
		stats.RejectedPeers[reason.String()] = n
	}
	return stats
}

// countRejectedLocked counts an error of the verifier.
func (s *Store) countRejectedLocked(err error) {
	var rejected *tlspolicy.PeerError
	if errors.As(err, &rejected) {
		s.stats.rejected[rejected.Reason]++
	}
}
