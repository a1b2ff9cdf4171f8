package tlspolicy

import (
	"bytes"
	"crypto/sha256"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"slices"
	"strings"

	"hollymast/control"
)

// Reason is why a peer is refused.
type Reason uint8

// The reasons.
const (
	NoCertificate    Reason = iota // it showed no certificate
	UnknownAuthority               // no authority that we trust signed it
	NotYetValid                    // not yet valid
	Expired                        // no longer valid
	WrongName                      // valid, but not for whom it should be
	WrongKeyUsage                  // not meant for this side of a connection
	Revoked
	NoAuthorities // we have no authorities to check it by
)

var reasonNames = [...]string{"no certificate", "unknown authority", "not yet valid", "expired", "wrong name", "wrong use", "revoked", "nothing to check by"}

func (r Reason) String() string { return reasonNames[r] }

// Refusal is the plain line with which a peer is refused.
type PeerError struct {
	Reason Reason
	Text   string
}

func (r *PeerError) Error() string { return r.Text }

func reject(r Reason, format string, args ...any) *PeerError {
	return &PeerError{r, fmt.Sprintf(format, args...)}
}

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

// list is an authority's list of revoked certificates.
type revocationList struct {
	issuer     string // raw subject
	signer     *x509.Certificate
	number     *big.Int
	nextUpdate control.Micros // when the authority promised another; 0: it did not
	revoked    map[string]bool
	overdue    bool // said
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

// readLists reads lists of revoked certificates. A list must be signed by a trusted authority and must not be older than the one
// in service; an authority that had a list before and is still trusted must have one again: a file emptied by accident must
// not make a revoked certificate good.
func (p *Verifier) parseRevocations(roots []*x509.Certificate, text []byte) ([]*revocationList, error) {
	by := map[string]*revocationList{}
	for rest := text; ; {
		var b *pem.Block
		if b, rest = pem.Decode(rest); b == nil {
			break
		}
		if b.Type != "X509 CRL" {
			return nil, fmt.Errorf("the file of revoked certificates holds a %s", strings.ToLower(b.Type))
		}
		r, err := x509.ParseRevocationList(b.Bytes)
		if err != nil {
			return nil, fmt.Errorf("a list of revoked certificates can't be read: %w", err)
		}
		for _, e := range r.Extensions {
			if e.Critical { // a delta, or one for some certificates alone
				return nil, fmt.Errorf("the list of revoked certificates of %s is of a kind that is not followed (%v)", r.Issuer, e.Id)
			}
		}
		i := slices.IndexFunc(roots, func(c *x509.Certificate) bool {
			return bytes.Equal(c.RawSubject, r.RawIssuer) && r.CheckSignatureFrom(c) == nil
		})
		if i < 0 {
			return nil, fmt.Errorf("the list of revoked certificates of %s is signed by no trusted authority", r.Issuer)
		}
		l := &revocationList{issuer: string(r.RawIssuer), signer: roots[i], number: r.Number, revoked: make(map[string]bool, len(r.RevokedCertificateEntries))}
		if l.number == nil {
			l.number = new(big.Int)
		}
		if !r.NextUpdate.IsZero() {
			l.nextUpdate = microsOf(r.NextUpdate)
		}
		for _, e := range r.RevokedCertificateEntries {
			l.revoked[string(e.SerialNumber.Bytes())] = true
		}
		if other := by[l.issuer]; other == nil || other.number.Cmp(l.number) < 0 {
			by[l.issuer] = l
		}
	}
	for _, old := range p.revocations {
		trusted := slices.ContainsFunc(roots, func(c *x509.Certificate) bool { return c.Equal(old.signer) })
		switch l := by[old.issuer]; {
		case trusted && l == nil:
			return nil, fmt.Errorf("the list of revoked certificates of %s is missing", old.signer.Subject)
		case trusted && l.number.Cmp(old.number) < 0:
			return nil, fmt.Errorf("the list of revoked certificates of %s has number %v, older than %v", old.signer.Subject, l.number, old.number)
		}
	}
	var lists []*revocationList
	for _, l := range by {
		lists = append(lists, l)
	}
	slices.SortFunc(lists, func(a, b *revocationList) int { return strings.Compare(a.issuer, b.issuer) })
	return lists, nil
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

func chainError(leaf *x509.Certificate, err error) *PeerError {
	var invalid x509.CertificateInvalidError
	if errors.As(err, &invalid) {
		switch invalid.Reason {
		case x509.Expired:
			return reject(Expired, "the certificate of %s ended at %s", subjectNames(invalid.Cert), formatTime(invalid.Cert.NotAfter))
		case x509.IncompatibleUsage:
			return reject(WrongKeyUsage, "the certificate of %s is not meant for this side of a connection", subjectNames(leaf))
		}
	}
	return reject(UnknownAuthority, "the certificate of %s: no trusted authority signed it", subjectNames(leaf))
}

// revoked looks for a revoked certificate on the way from a peer's own to a trusted authority's.
func (p *Verifier) checkRevoked(way []*x509.Certificate) *PeerError {
	for i, c := range way[:len(way)-1] {
		for _, l := range p.revocations {
			if l.signer.Equal(way[i+1]) && l.revoked[string(c.SerialNumber.Bytes())] {
				return reject(Revoked, "the certificate of %s, number %x, is revoked", subjectNames(c), c.SerialNumber)
			}
		}
	}
	return nil
}

// named tells whether a certificate is for one of the names that are told, or without those for the host that was dialled.
func (p *Verifier) checkName(leaf *x509.Certificate, side Role, host string) error {
	if len(p.names) == 0 {
		if side == Client || leaf.VerifyHostname(host) == nil {
			return nil
		}
		return reject(WrongName, "the certificate is of %s, not of %s", subjectNames(leaf), host)
	}
	for _, name := range p.names {
		for _, d := range leaf.DNSNames {
			if matchesDNSName(strings.ToLower(name), strings.ToLower(d)) {
				return nil
			}
		}
		for _, u := range leaf.URIs {
			if under, all := strings.CutSuffix(name, "/*"); name == u.String() || all && strings.HasPrefix(u.String(), under+"/") {
				return nil
			}
		}
	}
	return reject(WrongName, "the certificate is of %s, not of %s", subjectNames(leaf), strings.Join(p.names, " or "))
}

// matches compares a told DNS name with a certificate's; * stands for the whole first label, in the told one alone.
func matchesDNSName(told, name string) bool {
	if rest, any := strings.CutPrefix(told, "*."); any {
		label, after, found := strings.Cut(name, ".")
		return found && label != "" && label != "*" && after == rest
	}
	return told == name
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

// Tick announces lists of revoked certificates that are out of date; they count on. It gives when it must be called again;
// 0: at the next offer.
func (p *Verifier) Maintain(now control.Micros) (next control.Micros) {
	for _, l := range p.revocations {
		switch {
		case l.nextUpdate == 0 || l.overdue:
		case now >= l.nextUpdate:
			l.overdue = true
			p.logf("the list of revoked certificates of %s should have been replaced by %s; it counts on", l.signer.Subject, formatTime(timeOf(l.nextUpdate)))
		case next == 0 || l.nextUpdate < next:
			next = l.nextUpdate
		}
	}
	return next
}

// names tells whose certificate it is.
func subjectNames(c *x509.Certificate) string {
	var all []string
	all = append(all, c.DNSNames...)
	for _, u := range c.URIs {
		all = append(all, u.String())
	}
	for _, ip := range c.IPAddresses {
		all = append(all, net.IP(ip).String())
	}
	if len(all) == 0 {
		return fmt.Sprintf("%q", c.Subject.String())
	}
	const most = 4 // one line
	if len(all) > most {
		all = append(all[:most], "others")
	}
	return strings.Join(all, ", ")
}
