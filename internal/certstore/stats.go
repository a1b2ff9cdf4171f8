package certstore

import (
	"errors"
	"hollymast/control"
	"hollymast/internal/tlspolicy"
)

// Counts are what a ring has met.
type Stats struct {
	Handshakes       uint64
	RejectedPeers    map[string]uint64 // peers, by reason
	FailedHandshakes uint64            // other handshakes that came to nothing
	ExpiresAt        control.Micros    // of the certificate in service, wall clock; 0: none
}

// Counts gives what was met so far.
func (r *Store) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.stats
	c.ExpiresAt = r.identity.ExpiresAt()
	c.RejectedPeers = make(map[string]uint64, len(r.stats.RejectedPeers))
	for k, v := range r.stats.RejectedPeers {
		c.RejectedPeers[k] = v
	}
	return c
}

func (r *Store) countRejectedLocked(err error) {
	var no *tlspolicy.PeerError
	if errors.As(err, &no) {
		r.stats.RejectedPeers[no.Reason.String()]++
	}
}
