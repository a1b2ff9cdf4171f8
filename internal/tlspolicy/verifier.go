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
	names       []string // accepted names (patterns); none: the host that was dialed for a server, any name for a client
	authorities []*x509.Certificate
	pool        *x509.CertPool    // of the authorities
	revocations []*revocationList // sorted by issuer
	version     uint64
	lastDigest  digest // of the last update
	logBuffer
}

// NewVerifier returns a verifier without trusted authorities. A peer's certificate must match one of the names: a DNS name, whose first
// label may be *, or a URI, which may end in /*. Without names, a server's certificate must be for the host that was dialed, and a
// client's may have any name.
func NewVerifier(names []string) *Verifier { return &Verifier{names: names} }

// Version returns the number of changes of the authorities and CRLs.
func (v *Verifier) Version() uint64 { return v.version }

// HasAuthorities reports whether there are authorities to verify peers with.
func (v *Verifier) HasAuthorities() bool { return len(v.authorities) > 0 }

// Update applies the current certificates of the trusted authorities and their CRLs (both PEM; nil: no CRLs). If it returns an error,
// nothing has changed; it logs the error as well if there were authorities before. An update with the same contents as the last one does
// nothing and returns nil. Authorities and CRLs change together or not at all, so that no CRL is dropped because its authority came later.
func (v *Verifier) Update(authorities, revoked []byte) error {
	d := digestOf(authorities, revoked)
	if d == v.lastDigest {
		return nil
	}
	v.lastDigest = d
	if err := v.replace(authorities, revoked); err != nil {
		if v.HasAuthorities() {
			v.logf("%v: the current authorities and lists of revoked certificates stay in use", err)
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

// VerifiedPeer is a peer that Verify has accepted. Reverify checks it again later.
type VerifiedPeer struct {
	version   uint64 // of the verifier when the peer was verified
	expiresAt control.Micros
	chain     []*x509.Certificate // as presented, the peer's own certificate first
	role      Role
	host      string
}

// Verify checks whether a peer that presented this chain, its own certificate first, is trusted. Its errors are *PeerError. Role is that of
// the peer. Host is the host that was dialed, empty if the peer is a client.
func (v *Verifier) Verify(now control.Micros, chain []*x509.Certificate, role Role, host string) (VerifiedPeer, error) {
	if len(chain) == 0 {
		return VerifiedPeer{}, newPeerError(NoCertificate, "the peer showed no certificate")
	}
	leaf := chain[0]
	if !v.HasAuthorities() {
		return VerifiedPeer{}, newPeerError(NoAuthorities, "there is no trusted authority to check %s by", subjectNames(leaf))
	}
	for _, c := range chain { // checked here, since x509 reports it as expired
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
	expiresAt, err := v.latestExpiry(paths)
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

// latestExpiry returns the latest expiry of the paths without a revoked certificate, since one valid path is enough. If every path has a
// revoked certificate, it returns the error for one of them.
func (v *Verifier) latestExpiry(paths [][]*x509.Certificate) (control.Micros, error) {
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

// pathExpiry returns the earliest expiry of the certificates in a path.
func pathExpiry(path []*x509.Certificate) control.Micros {
	expiry := microsOf(path[0].NotAfter)
	for _, c := range path {
		expiry = min(expiry, microsOf(c.NotAfter))
	}
	return expiry
}

// Reverify checks that a peer is still trusted. Its errors are *PeerError. It is cheap while authorities and CRLs are unchanged.
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
