package certstore

import (
	"net"

	"hollymast/internal/tlspolicy"
)

// trackedConn is a long-lived connection, on which no request gives occasion to check that the peer is still trusted. The store closes it.
type trackedConn struct {
	net.Conn          // TLS
	raw      net.Conn // beneath it
	store    *Store
	peer     tlspolicy.VerifiedPeer
}

// Close closes the connection, which is no longer tracked.
func (c *trackedConn) Close() error {
	c.store.mu.Lock()
	delete(c.store.tracked, c)
	c.store.mu.Unlock()
	return c.Conn.Close()
}

// track has the store close a connection once its peer is no longer trusted, which may be so already since the handshake.
func (s *Store) track(c *trackedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracked[c] = struct{}{}
	s.closeUntrustedLocked()
}

// closeUntrustedLocked closes the tracked connections whose peers are no longer trusted.
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
