// Package certstore puts what package trust decides on connections: it finds certificates, keys, authorities and lists of revoked
// certificates in files or hears them from a secret discovery service, and changes them while connections stand.
package certstore

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"hollymast/control"
	"hollymast/internal/tlspolicy"
)

// Told is what one side of one kind of connection is told.
type Config struct {
	Certificate, Key string   // files; both empty: this side shows none
	Authorities      string   // file; empty: the other side is not checked
	RevocationLists  string   // file; empty: none are
	Names            []string // that the other side may have; none: the host dialled, or anyone of the authorities
	AllowTLS12       bool     // TLS 1.2 will do

	SecretsAddress    string // address of a secret discovery service on loopback; empty: the files
	CertificateSecret string // names of its secrets
	AuthoritiesSecret string
}

func (t *Config) hasCertificate() bool { return t.Certificate != "" || t.CertificateSecret != "" }

func (t *Config) verifiesPeer() bool { return t.Authorities != "" || t.AuthoritiesSecret != "" }

// lookEvery is how often the files are read: often enough that whoever has replaced them sees it at once, at the cost of four
// small reads.
const pollInterval = 250 * time.Millisecond

// Ring is one side's keys. All methods may be called by any goroutine.
type Store struct {
	config *Config
	now    func() control.Micros
	log    func(text string)

	mu       sync.Mutex
	identity tlspolicy.Identity
	verifier *tlspolicy.Verifier
	tracked  map[*trackedConn]struct{} // connections that are cut once their peer is no longer believed
	stats    Stats
	random   *rand.Rand // spreads the replacing of connections
}

// Counts are what a ring has met.
type Stats struct {
	Handshakes       uint64
	RejectedPeers    map[string]uint64 // peers, by reason
	FailedHandshakes uint64            // other handshakes that came to nothing
	ExpiresAt        control.Micros    // of the certificate in service, wall clock; 0: none
}

// Open finds the keys. Where files are told they must be whole; secrets may come later. Errors are what is wrong with them.
func Open(told *Config, now func() control.Micros, note func(text string)) (*Store, error) {
	r := &Store{config: told, now: now, log: note, verifier: tlspolicy.NewVerifier(told.Names), tracked: map[*trackedConn]struct{}{}, stats: Stats{RejectedPeers: map[string]uint64{}},
		random: rand.New(rand.NewPCG(uint64(now()), 1))}
	if told.SecretsAddress != "" {
		return r, nil
	}
	return r, r.reload()
}

// look reads the files and offers them. A file that can't be read leaves all as it was.
func (r *Store) reload() error {
	var texts [4][]byte
	for i, name := range []string{r.config.Certificate, r.config.Key, r.config.Authorities, r.config.RevocationLists} {
		if name == "" {
			continue
		}
		var err error
		if texts[i], err = os.ReadFile(name); err != nil {
			return err
		}
	}
	var errs []error
	if r.config.hasCertificate() {
		errs = append(errs, r.UpdateKeyPair(texts[0], texts[1]))
	}
	if r.config.verifiesPeer() {
		errs = append(errs, r.UpdateAuthorities(texts[2], texts[3]))
	}
	return errors.Join(errs...)
}

// OfferPair offers a certificate chain and its key; see trust.Identity.Offer.
func (r *Store) UpdateKeyPair(chain, key []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	err := r.identity.Update(r.now(), chain, key)
	r.flushLog()
	return err
}

// OfferPeers offers authorities and revoked certificates; see trust.Peers.Offer. Long connections with peers that are not
// believed any more end.
func (r *Store) UpdateAuthorities(authorities, revoked []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.verifier.Version()
	err := r.verifier.Update(r.now(), authorities, revoked)
	if r.verifier.Version() != before {
		r.closeUntrusted()
	}
	r.flushLog()
	return err
}

func (r *Store) flushLog() {
	for _, n := range append(r.identity.LogLines(), r.verifier.LogLines()...) {
		r.log(n)
	}
}

func (r *Store) closeUntrusted() {
	now := r.now()
	for w := range r.tracked {
		if err := r.verifier.Reverify(now, &w.peer); err != nil {
			r.countRejectedLocked(err)
			r.log("a connection is cut: " + err.Error())
			delete(r.tracked, w)
			w.raw.Close() // not the secret one, whose goodbye may wait
		}
	}
}

// tick ends what is over.
func (r *Store) maintain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.identity.Maintain(r.now())
	r.verifier.Maintain(r.now())
	r.closeUntrusted()
	r.flushLog()
}

// Follow looks at the files now and again until the context ends. What can't be read is told once, until it can.
func (r *Store) Run(ctx context.Context) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	unread := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if r.config.SecretsAddress == "" {
			var missing *os.PathError
			if err := r.reload(); errors.As(err, &missing) {
				if unread != missing.Error() {
					unread = missing.Error()
					r.log(unread + ": what was read before stands")
				}
			} else {
				unread = ""
			}
		}
		r.maintain()
	}
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

var errCertificateReplaced = errors.New("another certificate of ours is in service")

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
