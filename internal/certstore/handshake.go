package certstore

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"hollymast/internal/tlspolicy"
)

var errNoCertificate = errors.New("no certificate is in service yet")

// ClientHandshake runs the TLS handshake on a connection that was dialed to the address. If it returns an error, the connection must not be
// used. For an untrusted peer the error is a *tlspolicy.PeerError.
func (s *Store) ClientHandshake(ctx context.Context, nc net.Conn, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	c := &Conn{store: s, isClient: true, identityVersion: s.identity.Version(), replacePosition: s.random.Float64()}
	s.mu.Unlock()
	c.Conn = tls.Client(nc, s.tlsConfig(tlspolicy.Server, host, &c.peer))
	return c, s.handshake(ctx, c.Conn)
}

// ServerHandshake runs the TLS handshake on an accepted connection. Its errors are those of ClientHandshake.
func (s *Store) ServerHandshake(ctx context.Context, nc net.Conn) (net.Conn, error) {
	c := &Conn{store: s}
	c.Conn = tls.Server(nc, s.tlsConfig(tlspolicy.Client, "", &c.peer))
	err := s.handshake(ctx, c.Conn)
	if err != nil {
		drainAfterReject(nc)
	}
	return c, err
}

// Limits for reading from a rejected client: the time of several round trips, and what a client may have sent by then.
const (
	drainTime     = 200 * time.Millisecond
	drainMaxBytes = 64 << 10
)

// drainAfterReject reads and discards what a rejected client has sent. With unread bytes, the kernel would reset the connection on close, and
// the client might lose the TLS alert with the reason of the rejection.
func drainAfterReject(nc net.Conn) {
	if t, ok := nc.(*net.TCPConn); ok && t.CloseWrite() == nil {
		nc.SetReadDeadline(time.Now().Add(drainTime))
		io.CopyN(io.Discard, nc, drainMaxBytes)
	}
}

// handshake runs a TLS handshake and counts its result.
func (s *Store) handshake(ctx context.Context, c *tls.Conn) error {
	err := c.HandshakeContext(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	var rejected *tlspolicy.PeerError
	switch {
	case err == nil:
		s.stats.Handshakes++
		return nil
	case errors.As(err, &rejected): // counted by verify
		return rejected
	}
	s.stats.FailedHandshakes++
	return fmt.Errorf("no secret connection: %w", err)
}

// tlsConfig returns the configuration of one handshake with a peer of the given role. The handshake sets verified.
func (s *Store) tlsConfig(peerRole tlspolicy.Role, host string, verified *tlspolicy.VerifiedPeer) *tls.Config {
	c := &tls.Config{
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true, // a resumed session would present no certificate
	}
	if s.config.AllowTLS12 {
		c.MinVersion = tls.VersionTLS12
	}
	// The verifier replaces the checks of crypto/tls, so that names, revocation and reasons are handled alike for all connections.
	c.VerifyConnection = func(state tls.ConnectionState) error {
		return s.verify(state, peerRole, host, verified)
	}
	if peerRole == tlspolicy.Server {
		c.InsecureSkipVerify = true
		c.ServerName = host
		c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			if !s.config.hasCertificate() {
				return &tls.Certificate{}, nil
			}
			return s.currentCertificate()
		}
		return c
	}
	c.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.currentCertificate() }
	if s.config.verifiesPeer() {
		c.ClientAuth = tls.RequestClientCert // verify rejects a client without a certificate, with a reason
	}
	return c
}

func (s *Store) currentCertificate() (*tls.Certificate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.identity.Current(); c != nil {
		return c, nil
	}
	return nil, errNoCertificate
}

// verify checks the peer of a handshake, if the configuration requires it.
func (s *Store) verify(state tls.ConnectionState, peerRole tlspolicy.Role, host string, verified *tlspolicy.VerifiedPeer) error {
	if !s.config.verifiesPeer() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p, err := s.verifier.Verify(s.now(), state.PeerCertificates, peerRole, host)
	if err != nil {
		s.countRejectedLocked(err)
		return err
	}
	*verified = p
	return nil
}
