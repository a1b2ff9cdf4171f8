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
type Told struct {
	Certificate, Key string   // files; both empty: this side shows none
	Authorities      string   // file; empty: the other side is not checked
	Revoked          string   // file; empty: none are
	Names            []string // that the other side may have; none: the host dialled, or anyone of the authorities
	Twelve           bool     // TLS 1.2 will do

	Secrets           string // address of a secret discovery service on loopback; empty: the files
	CertificateSecret string // names of its secrets
	AuthoritiesSecret string
}

func (t *Told) shows() bool { return t.Certificate != "" || t.CertificateSecret != "" }

func (t *Told) checks() bool { return t.Authorities != "" || t.AuthoritiesSecret != "" }

// lookEvery is how often the files are read: often enough that whoever has replaced them sees it at once, at the cost of four
// small reads.
const lookEvery = 250 * time.Millisecond

// Ring is one side's keys. All methods may be called by any goroutine.
type Ring struct {
	told *Told
	now  func() control.Micros
	note func(text string)

	mu       sync.Mutex
	identity tlspolicy.Identity
	peers    *tlspolicy.Peers
	long     map[*watched]struct{} // connections that are cut once their peer is no longer believed
	counts   Counts
	chance   *rand.Rand // spreads the replacing of connections
}

// Counts are what a ring has met.
type Counts struct {
	Handshakes uint64
	Refused    map[string]uint64 // peers, by reason
	Failed     uint64            // other handshakes that came to nothing
	Ends       control.Micros    // of the certificate in service, wall clock; 0: none
}

// Open finds the keys. Where files are told they must be whole; secrets may come later. Errors are what is wrong with them.
func Open(told *Told, now func() control.Micros, note func(text string)) (*Ring, error) {
	r := &Ring{told: told, now: now, note: note, peers: tlspolicy.NewPeers(told.Names), long: map[*watched]struct{}{}, counts: Counts{Refused: map[string]uint64{}},
		chance: rand.New(rand.NewPCG(uint64(now()), 1))}
	if told.Secrets != "" {
		return r, nil
	}
	return r, r.look()
}

// look reads the files and offers them. A file that can't be read leaves all as it was.
func (r *Ring) look() error {
	var texts [4][]byte
	for i, name := range []string{r.told.Certificate, r.told.Key, r.told.Authorities, r.told.Revoked} {
		if name == "" {
			continue
		}
		var err error
		if texts[i], err = os.ReadFile(name); err != nil {
			return err
		}
	}
	var errs []error
	if r.told.shows() {
		errs = append(errs, r.OfferPair(texts[0], texts[1]))
	}
	if r.told.checks() {
		errs = append(errs, r.OfferPeers(texts[2], texts[3]))
	}
	return errors.Join(errs...)
}

// OfferPair offers a certificate chain and its key; see trust.Identity.Offer.
func (r *Ring) OfferPair(chain, key []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	err := r.identity.Offer(r.now(), chain, key)
	r.tell()
	return err
}

// OfferPeers offers authorities and revoked certificates; see trust.Peers.Offer. Long connections with peers that are not
// believed any more end.
func (r *Ring) OfferPeers(authorities, revoked []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.peers.Version()
	err := r.peers.Offer(r.now(), authorities, revoked)
	if r.peers.Version() != before {
		r.cut()
	}
	r.tell()
	return err
}

func (r *Ring) tell() {
	for _, n := range append(r.identity.Notes(), r.peers.Notes()...) {
		r.note(n)
	}
}

func (r *Ring) cut() {
	now := r.now()
	for w := range r.long {
		if err := r.peers.Still(now, &w.standing); err != nil {
			r.refusedLocked(err)
			r.note("a connection is cut: " + err.Error())
			delete(r.long, w)
			w.raw.Close() // not the secret one, whose goodbye may wait
		}
	}
}

// tick ends what is over.
func (r *Ring) tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.identity.Tick(r.now())
	r.peers.Tick(r.now())
	r.cut()
	r.tell()
}

// Follow looks at the files now and again until the context ends. What can't be read is told once, until it can.
func (r *Ring) Follow(ctx context.Context) {
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	unread := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if r.told.Secrets == "" {
			var missing *os.PathError
			if err := r.look(); errors.As(err, &missing) {
				if unread != missing.Error() {
					unread = missing.Error()
					r.note(unread + ": what was read before stands")
				}
			} else {
				unread = ""
			}
		}
		r.tick()
	}
}

// Counts gives what was met so far.
func (r *Ring) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.counts
	c.Ends = r.identity.Ends()
	c.Refused = make(map[string]uint64, len(r.counts.Refused))
	for k, v := range r.counts.Refused {
		c.Refused[k] = v
	}
	return c
}

func (r *Ring) refusedLocked(err error) {
	var no *tlspolicy.Refusal
	if errors.As(err, &no) {
		r.counts.Refused[no.Reason.String()]++
	}
}

var errOutlived = errors.New("another certificate of ours is in service")

var errNoPair = errors.New("no certificate is in service yet")

// config gives what one handshake runs by; standing gets what is found of the peer.
func (r *Ring) config(side tlspolicy.Side, host string, standing *tlspolicy.Standing) *tls.Config {
	c := &tls.Config{MinVersion: tls.VersionTLS13, SessionTicketsDisabled: true} // each connection is checked whole
	if r.told.Twelve {
		c.MinVersion = tls.VersionTLS12
	}
	pair := func() (*tls.Certificate, error) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if p := r.identity.Serving(); p != nil {
			return p, nil
		}
		return nil, errNoPair
	}
	// Ours is the whole check, so that names, revocation and reasons are the same for all kinds of connections.
	verify := func(s tls.ConnectionState) error {
		if !r.told.checks() {
			return nil
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		got, err := r.peers.Check(r.now(), s.PeerCertificates, side, host)
		if err != nil {
			r.refusedLocked(err)
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
			if !r.told.shows() {
				return &tls.Certificate{}, nil
			}
			return pair()
		}
		return c
	}
	c.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return pair() }
	if r.told.checks() {
		c.ClientAuth = tls.RequestClientCert // its absence is refused by the check, in our words
	}
	return c
}

// Secure is a connection whose peer was believed.
type Secure struct {
	*tls.Conn
	ring     *Ring
	standing tlspolicy.Standing
	dialled  bool
	own      uint64 // version of the identity that it was made with
	place    float64
}

// Still tells whether the peer is still believed, and, where we dialled, whether we still show what we have in service: a
// connection that stood idle may have outlived either. One goroutine at a time.
func (s *Secure) Still() error {
	s.ring.mu.Lock()
	defer s.ring.mu.Unlock()
	if s.dialled && s.ring.identity.Outlived(s.ring.now(), s.own, s.place) {
		return errOutlived
	}
	if !s.ring.told.checks() {
		return nil
	}
	err := s.ring.peers.Still(s.ring.now(), &s.standing)
	if err != nil {
		s.ring.refusedLocked(err)
	}
	return err
}

// Dialled makes a connection that we dialled secret, within the context. Errors mean that no connection stands; those of a peer
// that is not believed are a *trust.Refusal.
func (r *Ring) Dialled(ctx context.Context, nc net.Conn, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	s := &Secure{ring: r, dialled: true, own: r.identity.Version(), place: r.chance.Float64()}
	r.mu.Unlock()
	s.Conn = tls.Client(nc, r.config(tlspolicy.Server, host, &s.standing))
	return s, r.shake(ctx, s.Conn)
}

// Accepted makes a connection that was accepted secret, within the context.
func (r *Ring) Accepted(ctx context.Context, nc net.Conn) (net.Conn, error) {
	s := &Secure{ring: r}
	s.Conn = tls.Server(nc, r.config(tlspolicy.Client, "", &s.standing))
	err := r.shake(ctx, s.Conn)
	if err != nil {
		linger(nc)
	}
	return s, err
}

// linger has the other end read why it was refused before the connection goes: what it has sent already would else have the
// kernel reset it, and the alert with it.
func linger(nc net.Conn) {
	const most = 200 * time.Millisecond // several round trips
	if t, ok := nc.(*net.TCPConn); ok && t.CloseWrite() == nil {
		nc.SetReadDeadline(time.Now().Add(most))
		io.CopyN(io.Discard, nc, 64<<10)
	}
}

func (r *Ring) shake(ctx context.Context, c *tls.Conn) error {
	err := c.HandshakeContext(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	var no *tlspolicy.Refusal
	switch {
	case err == nil:
		r.counts.Handshakes++
		return nil
	case errors.As(err, &no):
		return no
	}
	r.counts.Failed++
	return fmt.Errorf("no secret connection: %w", err)
}
