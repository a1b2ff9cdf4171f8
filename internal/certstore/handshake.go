package certstore

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"hollymast/internal/tlspolicy"
	"io"
	"net"
	"time"
)

var errNoCertificate = errors.New("no certificate is in service yet")

// config gives what one handshake runs by; standing gets what is found of the peer.
func (r *Store) tlsConfig(side tlspolicy.Role, host string, standing *tlspolicy.VerifiedPeer) *tls.Config {
	c := &tls.Config{MinVersion: tls.VersionTLS13, SessionTicketsDisabled: true} // each connection is checked whole
	if r.config.AllowTLS12 {
		c.MinVersion = tls.VersionTLS12
	}
	pair := func() (*tls.Certificate, error) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if p := r.identity.Current(); p != nil {
			return p, nil
		}
		return nil, errNoCertificate
	}
	// Ours is the whole check, so that names, revocation and reasons are the same for all kinds of connections.
	verify := func(s tls.ConnectionState) error {
		if !r.config.verifiesPeer() {
			return nil
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		got, err := r.verifier.Verify(r.now(), s.PeerCertificates, side, host)
		if err != nil {
			r.countRejectedLocked(err)
			return err
		}
		*standing = got
		return nil
	}
	c.VerifyConnection = verify
	if side == tlspolicy.Server { // the peer is one
		c.InsecureSkipVerify = true
		c.ServerName = host
		c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			if !r.config.hasCertificate() {
				return &tls.Certificate{}, nil
			}
			return pair()
		}
		return c
	}
	c.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return pair() }
	if r.config.verifiesPeer() {
		c.ClientAuth = tls.RequestClientCert // its absence is refused by the check, in our words
	}
	return c
}

// Dialled makes a connection that we dialled secret, within the context. Errors mean that no connection stands; those of a peer
// that is not believed are a *trust.Refusal.
func (r *Store) ClientHandshake(ctx context.Context, nc net.Conn, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	s := &Conn{store: r, isClient: true, identityVersion: r.identity.Version(), replaceAt: r.random.Float64()}
	r.mu.Unlock()
	s.Conn = tls.Client(nc, r.tlsConfig(tlspolicy.Server, host, &s.peer))
	return s, r.handshake(ctx, s.Conn)
}

// Accepted makes a connection that was accepted secret, within the context.
func (r *Store) ServerHandshake(ctx context.Context, nc net.Conn) (net.Conn, error) {
	s := &Conn{store: r}
	s.Conn = tls.Server(nc, r.tlsConfig(tlspolicy.Client, "", &s.peer))
	err := r.handshake(ctx, s.Conn)
	if err != nil {
		drainAfterReject(nc)
	}
	return s, err
}

// linger has the other end read why it was refused before the connection goes: what it has sent already would else have the
// kernel reset it, and the alert with it.
func drainAfterReject(nc net.Conn) {
	const most = 200 * time.Millisecond // several round trips
	if t, ok := nc.(*net.TCPConn); ok && t.CloseWrite() == nil {
		nc.SetReadDeadline(time.Now().Add(most))
		io.CopyN(io.Discard, nc, 64<<10)
	}
}

func (r *Store) handshake(ctx context.Context, c *tls.Conn) error {
	err := c.HandshakeContext(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	var no *tlspolicy.PeerError
	switch {
	case err == nil:
		r.stats.Handshakes++
		return nil
	case errors.As(err, &no):
		return no
	}
	r.stats.FailedHandshakes++
	return fmt.Errorf("no secret connection: %w", err)
}
