package tlspolicy

import (
	"bytes"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"hollymast/control"
	"math/big"
	"slices"
	"strings"
)

// list is an authority's list of revoked certificates.
type revocationList struct {
	issuer     string // raw subject
	signer     *x509.Certificate
	number     *big.Int
	nextUpdate control.Micros // when the authority promised another; 0: it did not
	revoked    map[string]bool
	overdue    bool // said
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
