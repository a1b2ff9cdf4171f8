package tlspolicy

import (
	"bytes"
	"cmp"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"maps"
	"math/big"
	"slices"
	"strings"

	"hollymast/control"
)

// revocationList is an authority's certificate revocation list (CRL, RFC 5280).
type revocationList struct {
	issuer     string            // raw subject of the authority
	signer     *x509.Certificate // the trusted authority that signed the list
	number     *big.Int          // CRL number; grows with each list of the issuer
	nextUpdate control.Micros    // when the next list is to be issued; 0: not set
	revoked    map[string]bool   // by serial number, as bytes
	overdue    bool              // it was logged that nextUpdate has passed
}

// parseRevocationLists parses CRLs (PEM) and returns the latest one of each issuer, sorted by issuer.
func parseRevocationLists(authorities []*x509.Certificate, text []byte) ([]*revocationList, error) {
	byIssuer := map[string]*revocationList{}
	for block, rest := pem.Decode(text); block != nil; block, rest = pem.Decode(rest) {
		if block.Type != "X509 CRL" {
			return nil, fmt.Errorf("the file of revoked certificates holds a %s", strings.ToLower(block.Type))
		}
		list, err := parseRevocationList(authorities, block.Bytes)
		if err != nil {
			return nil, err
		}
		if other := byIssuer[list.issuer]; other == nil || other.number.Cmp(list.number) < 0 {
			byIssuer[list.issuer] = list
		}
	}
	return slices.SortedFunc(maps.Values(byIssuer), func(a, b *revocationList) int { return cmp.Compare(a.issuer, b.issuer) }), nil
}

// parseRevocationList parses a CRL (DER) and checks that a trusted authority signed it.
func parseRevocationList(authorities []*x509.Certificate, der []byte) (*revocationList, error) {
	crl, err := x509.ParseRevocationList(der)
	if err != nil {
		return nil, fmt.Errorf("a list of revoked certificates can't be read: %w", err)
	}
	for _, e := range crl.Extensions {
		if e.Critical { // a delta CRL, or one with a limited scope
			return nil, fmt.Errorf("the list of revoked certificates of %s is of a kind that is not followed (%v)", crl.Issuer, e.Id)
		}
	}
	signer := slices.IndexFunc(authorities, func(c *x509.Certificate) bool {
		return bytes.Equal(c.RawSubject, crl.RawIssuer) && crl.CheckSignatureFrom(c) == nil
	})
	if signer < 0 {
		return nil, fmt.Errorf("the list of revoked certificates of %s is signed by no trusted authority", crl.Issuer)
	}
	list := &revocationList{
		issuer:  string(crl.RawIssuer),
		signer:  authorities[signer],
		number:  crl.Number,
		revoked: make(map[string]bool, len(crl.RevokedCertificateEntries)),
	}
	if list.number == nil {
		list.number = new(big.Int)
	}
	if !crl.NextUpdate.IsZero() {
		list.nextUpdate = microsOf(crl.NextUpdate)
	}
	for _, e := range crl.RevokedCertificateEntries {
		list.revoked[string(e.SerialNumber.Bytes())] = true
	}
	return list, nil
}

// checkNoRevocationLost checks that each authority that had a CRL and is still trusted has one in the new lists that is not older. A file
// that is emptied or restored by accident must not make a revoked certificate valid again.
func (v *Verifier) checkNoRevocationLost(authorities []*x509.Certificate, lists []*revocationList) error {
	for _, old := range v.revocations {
		if !slices.ContainsFunc(authorities, func(c *x509.Certificate) bool { return sameAuthority(old.signer, c) }) {
			continue
		}
		i := slices.IndexFunc(lists, func(l *revocationList) bool { return l.issuer == old.issuer })
		if i < 0 {
			return fmt.Errorf("the list of revoked certificates of %s is missing", old.signer.Subject)
		}
		if lists[i].number.Cmp(old.number) < 0 {
			return fmt.Errorf("the list of revoked certificates of %s has number %v, older than %v", old.signer.Subject, lists[i].number, old.number)
		}
	}
	return nil
}

// sameAuthority reports whether two certificates belong to the same authority, that is, have the same name and key. A CRL must apply to all
// certificates of its authority: after the authority's certificate is reissued, a revoked certificate would otherwise verify through the
// other one.
func sameAuthority(a, b *x509.Certificate) bool {
	return bytes.Equal(a.RawSubject, b.RawSubject) && bytes.Equal(a.RawSubjectPublicKeyInfo, b.RawSubjectPublicKeyInfo)
}

// checkRevoked checks that no certificate of a verified path is revoked by the authority that issued it, the next one in the path.
func (v *Verifier) checkRevoked(path []*x509.Certificate) *PeerError {
	for i, c := range path[:len(path)-1] {
		for _, list := range v.revocations {
			if sameAuthority(list.signer, path[i+1]) && list.revoked[string(c.SerialNumber.Bytes())] {
				return newPeerError(Revoked, "the certificate of %s, number %x, is revoked", subjectNames(c), c.SerialNumber)
			}
		}
	}
	return nil
}

// Maintain logs CRLs that are overdue for replacement; they stay in use. It returns when it must be called again; 0: after the next
// update.
func (v *Verifier) Maintain(now control.Micros) (next control.Micros) {
	for _, list := range v.revocations {
		switch {
		case list.nextUpdate == 0 || list.overdue:
		case now >= list.nextUpdate:
			list.overdue = true
			v.logf("the list of revoked certificates of %s should have been replaced by %s: it stays in use", list.signer.Subject, formatTime(timeOf(list.nextUpdate)))
		case next == 0 || list.nextUpdate < next:
			next = list.nextUpdate
		}
	}
	return next
}
