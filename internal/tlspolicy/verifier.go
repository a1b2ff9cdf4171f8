package tlspolicy

import (
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"strings"

	"hollymast/control"
)

// Role is a side of a connection.
type Role uint8

// The roles.
const (
	Server Role = iota
	Client
)

// Verifier decides which peers are trusted. It is not safe for concurrent use.
type Verifier struct {
	names       []string // patterns, one of which a peer's certificate must match; none: the host that was dialled, or any name
	authorities []*x509.Certificate
	pool        *x509.CertPool    // of the authorities
	revocations []*revocationList // by issuer, ascending
	version     uint64
	lastDigest  digest // of the last update
	logBuffer
}

// NewVerifier returns a verifier that trusts nobody yet. A peer's certificate must match one of the names: a DNS name, whose first label
// may be *, or a URI, which may end in /*. Without names a server's must be for the host that was dialled, a client's may have any.
func NewVerifier(names []string) *Verifier { return &Verifier{names: names} }

// Version counts the changes of what is trusted.
func (v *Verifier) Version() uint64 { return v.version }

// HasAuthorities reports whether there are authorities to verify by.
func (v *Verifier) HasAuthorities() bool { return len(v.authorities) > 0 }

// Update takes the certificates of the trusted authorities and their CRLs (both PEM; nil: no CRLs) as they are now. The error says why all
// stays as it was; it is logged as well, once, and a repeated update returns none. Authorities and CRLs change together or not at all, so
// that no CRL is ignored because its authority came too late.
func (v *Verifier) Update(authorities, revoked []byte) error {
	d := digestOf(authorities, revoked)
	if d == v.lastDigest {
		return nil
	}
	v.lastDigest = d
	if err := v.replace(authorities, revoked); err != nil {
		if v.HasAuthorities() {
			v.logf("%v: what was trusted before stands", err)
		}
		return err
	}
	revocations := 0
	for _, list := range v.revocations {
		revocations += len(list.revoked)
	}
	v.logf("%d authorities are trusted, %d certificates are revoked", len(v.authorities), revocations)
	return nil
}

func (v *Verifier) replace(authoritiesPEM, revokedPEM []byte) error {
	authorities, err := parseAuthorities(authoritiesPEM)
	if err != nil {
		return err
	}
	lists, err := parseRevocationLists(authorities, revokedPEM)
	if err != nil {
		return err
	}
	if err := v.checkNoRevocationLost(authorities, lists); err != nil {
		return err
	}
	v.authorities, v.revocations, v.pool = authorities, lists, x509.NewCertPool()
	for _, c := range authorities {
		v.pool.AddCert(c)
	}
	v.version++
	return nil
}

func parseAuthorities(text []byte) ([]*x509.Certificate, error) {
	var authorities []*x509.Certificate
	for block, rest := pem.Decode(text); block != nil; block, rest = pem.Decode(rest) {
		if block.Type != "CERTIFICATE" {
			return nil, fmt.Errorf("the file of authorities holds a %s", strings.ToLower(block.Type))
		}
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("an authority's certificate can't be read: %w", err)
		}
		if !c.BasicConstraintsValid || !c.IsCA {
			return nil, fmt.Errorf("the certificate of %s among the authorities is not an authority's", subjectNames(c))
		}
		authorities = append(authorities, c)
	}
	if len(authorities) == 0 {
		return nil, errors.New("no authority is named")
	}
	return authorities, nil
}

// VerifiedPeer is a peer that was trusted when it connected; see Reverify.
type VerifiedPeer struct {
	version   uint64 // of the verifier
	expiresAt control.Micros
	chain     []*x509.Certificate // as presented
	role      Role
	host      string
}

// Verify decides whether a peer that presented this chain, its own certificate first, is trusted; its errors are *PeerError. Role is the
// peer's, and host the one that was dialled, empty for a client.
func (v *Verifier) Verify(now control.Micros, chain []*x509.Certificate, role Role, host string) (VerifiedPeer, error) {
	if len(chain) == 0 {
		return VerifiedPeer{}, newPeerError(NoCertificate, "the peer showed no certificate")
	}
	leaf := chain[0]
	if !v.HasAuthorities() {
		return VerifiedPeer{}, newPeerError(NoAuthorities, "there is no trusted authority to check %s by", subjectNames(leaf))
	}
	for _, c := range chain { // checked here, since x509 calls this expired too
		if now < microsOf(c.NotBefore) {
			return VerifiedPeer{}, newPeerError(NotYetValid, "the certificate of %s is not valid before %s", subjectNames(c), formatTime(c.NotBefore))
		}
	}
	paths, err := leaf.Verify(v.verifyOptions(now, chain[1:], role))
	if err != nil {
		return VerifiedPeer{}, chainError(leaf, err)
	}
	if err := v.checkName(leaf, role, host); err != nil {
		return VerifiedPeer{}, err
	}
	expiresAt, err := v.lastExpiry(paths)
	if err != nil {
		return VerifiedPeer{}, err
	}
	return VerifiedPeer{version: v.version, expiresAt: expiresAt, chain: chain, role: role, host: host}, nil
}

func (v *Verifier) verifyOptions(now control.Micros, intermediates []*x509.Certificate, role Role) x509.VerifyOptions {
	pool := x509.NewCertPool()
	for _, c := range intermediates {
		pool.AddCert(c)
	}
	usage := x509.ExtKeyUsageServerAuth
	if role == Client {
		usage = x509.ExtKeyUsageClientAuth
	}
	return x509.VerifyOptions{Roots: v.pool, Intermediates: pool, CurrentTime: timeOf(now), KeyUsages: []x509.ExtKeyUsage{usage}}
}

// lastExpiry returns when the last of the paths without a revoked certificate expires: one is enough. The error is that of a revoked
// certificate, where each path has one.
func (v *Verifier) lastExpiry(paths [][]*x509.Certificate) (control.Micros, error) {
	var last control.Micros
	var revoked *PeerError
	for _, path := range paths {
		if err := v.checkRevoked(path); err != nil {
			revoked = err
			continue
		}
		last = max(last, pathExpiry(path))
	}
	if last == 0 {
		return 0, revoked
	}
	return last, nil
}

// pathExpiry returns when the first certificate of a path expires.
func pathExpiry(path []*x509.Certificate) control.Micros {
	expiry := microsOf(path[0].NotAfter)
	for _, c := range path {
		expiry = min(expiry, microsOf(c.NotAfter))
	}
	return expiry
}

// Reverify checks that a peer is still trusted; its errors are *PeerError. It costs little while nothing has changed.
func (v *Verifier) Reverify(now control.Micros, peer *VerifiedPeer) error {
	if now >= peer.expiresAt {
		return newPeerError(Expired, "the certificate of %s ended while the connection stood", subjectNames(peer.chain[0]))
	}
	if peer.version == v.version {
		return nil
	}
	verified, err := v.Verify(now, peer.chain, peer.role, peer.host)
	if err == nil {
		*peer = verified
	}
	return err
}
