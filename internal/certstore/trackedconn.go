package certstore

import (
	"net"

	"hollymast/internal/tlspolicy"
)

// trackedConn is a long-lived connection, for example of gRPC, without requests at which the peer could be checked again. The store closes
// it when the peer is no longer trusted.
type trackedConn struct {
	net.Conn          // TLS
	raw      net.Conn // the connection below TLS
	store    *Store
	peer     tlspolicy.VerifiedPeer
}

// Close closes the connection and stops tracking it.
func (c *trackedConn) Close() error {
	c.store.mu.Lock()
	delete(c.store.tracked, c)
	c.store.mu.Unlock()
	return c.Conn.Close()
}

// track makes the store close the connection once its peer is no longer trusted. That may have happened since the handshake, so track
// checks at once.
func (s *Store) track(c *trackedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracked[c] = struct{}{}
	s.closeUntrustedLocked()
}

// closeUntrustedLocked closes the tracked connections whose peers are no longer trusted. The lock is held.
func (s *Store) closeUntrustedLocked() {
	now := s.now()
	for c := range s.tracked {
		if err := s.verifier.Reverify(now, &c.peer); err != nil {
			s.countRejectedLocked(err)
			s.log("a connection is closed: " + err.Error())
			delete(s.tracked, c)
			c.raw.Close() // the TLS connection's Close may wait to write its alert
		}
	}
}
