package tlspolicy

import (
	"crypto/sha256"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"strings"

	"hollymast/control"
)

// Side is whose certificate it is.
type Role uint8

// The two sides of a connection.
const (
	Server Role = iota
	Client
)

// Standing is a peer that was believed, for as long as that holds.
type VerifiedPeer struct {
	version   uint64
	expiresAt control.Micros
	chain     []*x509.Certificate // as shown
	role      Role
	host      string
}

// Peers is what is believed of the other ends of connections.
type Verifier struct {
	names       []string // that a peer may have; none: the host that was dialled, or anyone the authorities signed
	roots       []*x509.Certificate
	pool        *x509.CertPool
	revocations []*revocationList // by issuer, ascending
	lastDigest  [sha256.Size]byte
	logBuffer
	version uint64
}

// NewPeers gives what believes nobody yet. Names are those that a peer's certificate must have one of: a DNS name, perhaps with
// * as its first label, or a URI, perhaps ending in /*.
func NewVerifier(names []string) *Verifier { return &Verifier{names: names} }

// Version counts the changes of what is believed.
func (p *Verifier) Version() uint64 { return p.version }

// Known tells whether there are authorities to check by.
func (p *Verifier) HasAuthorities() bool { return len(p.roots) > 0 }

// Offer takes in the texts of the trusted authorities' certificates and of their lists of revoked ones (both PEM; no lists: nil)
// as they are found now. The error, if any, says why something stays as it was; it is also noted, once. Authorities and lists
// change together or not at all, so that no list goes unheard because its authority came too late.
func (p *Verifier) Update(now control.Micros, authorities, revoked []byte) error {
	h := sha256.New()
	fmt.Fprintf(h, "%d ", len(authorities))
	h.Write(authorities)
	h.Write(revoked)
	digest := [sha256.Size]byte(h.Sum(nil))
	if digest == p.lastDigest {
		return nil
	}
	p.lastDigest = digest
	roots, err := parseAuthorities(authorities)
	var lists []*revocationList
	if err == nil {
		lists, err = p.parseRevocations(roots, revoked)
	}
	if err != nil {
		if p.HasAuthorities() {
			p.logf("%v: what was trusted before stands", err)
		}
		return err
	}
	p.roots, p.revocations, p.pool = roots, lists, x509.NewCertPool()
	for _, r := range roots {
		p.pool.AddCert(r)
	}
	p.version++
	n := 0
	for _, l := range lists {
		n += len(l.revoked)
	}
	p.logf("%d authorities are trusted, %d certificates are revoked", len(roots), n)
	return nil
}

func parseAuthorities(text []byte) ([]*x509.Certificate, error) {
	var roots []*x509.Certificate
	for rest := text; ; {
		var b *pem.Block
		if b, rest = pem.Decode(rest); b == nil {
			break
		}
		if b.Type != "CERTIFICATE" {
			return nil, fmt.Errorf("the file of authorities holds a %s", strings.ToLower(b.Type))
		}
		c, err := x509.ParseCertificate(b.Bytes)
		if err != nil {
			return nil, fmt.Errorf("an authority's certificate can't be read: %w", err)
		}
		if !c.BasicConstraintsValid || !c.IsCA {
			return nil, fmt.Errorf("the certificate of %s among the authorities is none's", subjectNames(c))
		}
		roots = append(roots, c)
	}
	if len(roots) == 0 {
		return nil, errors.New("no authority is named")
	}
	return roots, nil
}

// Check tells whether a peer is believed that showed this chain, its own certificate first; the error is a *Refusal. Host is the
// one that was dialled; empty for a client.
func (p *Verifier) Verify(now control.Micros, chain []*x509.Certificate, side Role, host string) (VerifiedPeer, error) {
	if len(chain) == 0 {
		return VerifiedPeer{}, reject(NoCertificate, "the peer showed no certificate")
	}
	if !p.HasAuthorities() {
		return VerifiedPeer{}, reject(NoAuthorities, "there is no trusted authority to check %s by", subjectNames(chain[0]))
	}
	leaf := chain[0]
	for _, c := range chain { // told apart here, since x509 calls both expired
		if from := microsOf(c.NotBefore); now < from {
			return VerifiedPeer{}, reject(NotYetValid, "the certificate of %s is not valid before %s", subjectNames(c), formatTime(c.NotBefore))
		}
	}
	between := x509.NewCertPool()
	for _, c := range chain[1:] {
		between.AddCert(c)
	}
	use := x509.ExtKeyUsageServerAuth
	if side == Client {
		use = x509.ExtKeyUsageClientAuth
	}
	ways, err := leaf.Verify(x509.VerifyOptions{Roots: p.pool, Intermediates: between, CurrentTime: timeOf(now), KeyUsages: []x509.ExtKeyUsage{use}})
	if err != nil {
		return VerifiedPeer{}, chainError(leaf, err)
	}
	if err := p.checkName(leaf, side, host); err != nil {
		return VerifiedPeer{}, err
	}
	s := VerifiedPeer{version: p.version, chain: chain, role: side, host: host}
	var revoked *PeerError
	for _, way := range ways { // one way without a revoked certificate is enough; the longest-lived counts
		if r := p.checkRevoked(way); r != nil {
			revoked = r
			continue
		}
		until := microsOf(way[0].NotAfter)
		for _, c := range way {
			until = min(until, microsOf(c.NotAfter))
		}
		s.expiresAt = max(s.expiresAt, until)
	}
	if s.expiresAt == 0 {
		return VerifiedPeer{}, revoked
	}
	return s, nil
}

// Still tells whether a peer that was believed is believed now. It costs little while nothing changed.
func (p *Verifier) Reverify(now control.Micros, s *VerifiedPeer) error {
	if now >= s.expiresAt {
		return reject(Expired, "the certificate of %s ended while the connection stood", subjectNames(s.chain[0]))
	}
	if s.version == p.version {
		return nil
	}
	fresh, err := p.Verify(now, s.chain, s.role, s.host)
	if err == nil {
		*s = fresh
	}
	return err
}
