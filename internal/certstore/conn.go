package certstore

import (
	"crypto/tls"
	"errors"

	"hollymast/internal/tlspolicy"
)

// errCertificateReplaced is returned for a client connection made with a certificate that is no longer in service.
var errCertificateReplaced = errors.New("the connection was made with a certificate that has been replaced")

// Conn is a TLS connection with a verified peer.
type Conn struct {
	*tls.Conn
	store *Store
	peer  tlspolicy.VerifiedPeer

	isClient        bool
	identityVersion uint64  // of a client: the identity's version when the connection was made
	replacePosition float64 // of a client: see tlspolicy.Identity.ShouldReplace
}

// CheckPeer checks that the peer is still trusted and, on a client's connection, that the certificate it was made with is not due for
// replacement. Either may have changed while the connection was idle. It must not be called concurrently.
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
