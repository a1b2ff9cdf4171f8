package certstore

import (
	"crypto/tls"
	"errors"

	"hollymast/internal/tlspolicy"
)

// errCertificateReplaced ends a connection that we made with a certificate that is no longer in service.
var errCertificateReplaced = errors.New("another certificate of ours is in service")

// Conn is a TLS connection with a verified peer.
type Conn struct {
	*tls.Conn
	store *Store
	peer  tlspolicy.VerifiedPeer

	isClient        bool
	identityVersion uint64  // with which a client made the connection
	replacePosition float64 // in the replacement period, from 0 to 1
}

// CheckPeer checks that the peer is still trusted and, on a client's connection, that our certificate is still in service: neither may be so
// after the connection was idle. It must not be called concurrently.
func (c *Conn) CheckPeer() error {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.isClient && s.identity.ShouldReplace(s.now(), c.identityVersion, c.replacePosition) {
		return errCertificateReplaced
	}
	if !s.config.verifiesPeer() {
		return nil
	}
	err := s.verifier.Reverify(s.now(), &c.peer)
	if err != nil {
		s.countRejectedLocked(err)
	}
	return err
}
