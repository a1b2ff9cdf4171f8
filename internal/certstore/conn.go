package certstore

import (
	"crypto/tls"
	"errors"
	"hollymast/internal/tlspolicy"
)

// Secure is a connection whose peer was believed.
type Conn struct {
	*tls.Conn
	store           *Store
	peer            tlspolicy.VerifiedPeer
	isClient        bool
	identityVersion uint64 // version of the identity that it was made with
	replaceAt       float64
}

// Still tells whether the peer is still believed, and, where we dialled, whether we still show what we have in service: a
// connection that stood idle may have outlived either. One goroutine at a time.
func (s *Conn) Still() error {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	if s.isClient && s.store.identity.ReplaceNow(s.store.now(), s.identityVersion, s.replaceAt) {
		return errCertificateReplaced
	}
	if !s.store.config.verifiesPeer() {
		return nil
	}
	err := s.store.verifier.Reverify(s.store.now(), &s.peer)
	if err != nil {
		s.store.countRejectedLocked(err)
	}
	return err
}

var errCertificateReplaced = errors.New("another certificate of ours is in service")
