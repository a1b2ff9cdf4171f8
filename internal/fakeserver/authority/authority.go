// Package authority is a small certificate authority for tests and for the chaos tester. Its certificates are as valid as any; its keys
// are in memory only.
package authority

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"
)

// Authority signs certificates and revocation lists.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey

	mu      sync.Mutex
	serial  int64
	lists   int64
	revoked []x509.RevocationListEntry
}

// Certificate is a certificate with its key.
type Certificate struct {
	Chain, Key []byte // PEM
	Serial     *big.Int
	Leaf       *x509.Certificate
}

// Request is what a certificate is to be valid for.
type Request struct {
	Names               []string // DNS names, IP addresses, URIs
	NotBefore, NotAfter time.Time
	ExtKeyUsage         []x509.ExtKeyUsage // none: both sides of a connection
}

// authorityValidity is for how long an authority is valid, before and after now: longer than any test.
const authorityValidity = 10 * 365 * 24 * time.Hour

// New returns a self-signed authority.
func New(name string) *Authority { return newAuthority(name, nil) }

// NewIntermediate returns an authority that this one signed.
func (a *Authority) NewIntermediate(name string) *Authority { return newAuthority(name, a) }

// newAuthority returns an authority signed by its parent; nil: by itself.
func newAuthority(name string, issuer *Authority) *Authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must(err)
	return &Authority{cert: certify(name, key, issuer), key: key, serial: 1}
}

// ReissueCertificatePEM returns the PEM of another self-signed certificate of the authority, with the same name and key.
func (a *Authority) ReissueCertificatePEM() []byte {
	return encodePEM("CERTIFICATE", certify(a.cert.Subject.CommonName, a.key, nil).Raw)
}

// certify returns an authority's certificate signed by its parent; nil: by itself.
func certify(name string, key *ecdsa.PrivateKey, issuer *Authority) *x509.Certificate {
	t := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-authorityValidity), NotAfter: time.Now().Add(authorityValidity),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageCRLSign}
	parent, signer := t, key
	if issuer != nil {
		parent, signer = issuer.cert, issuer.key
		t.SerialNumber = issuer.nextSerial()
	}
	der, err := x509.CreateCertificate(rand.Reader, t, parent, &key.PublicKey, signer)
	must(err)
	cert, err := x509.ParseCertificate(der)
	must(err)
	return cert
}

func must(err error) {
	if err != nil {
		panic(err) // our own templates, and a random source that works
	}
}

func (a *Authority) nextSerial() *big.Int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.serial++
	return big.NewInt(a.serial)
}

// CertificatePEM is the authority's own certificate, PEM.
func (a *Authority) CertificatePEM() []byte { return encodePEM("CERTIFICATE", a.cert.Raw) }

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// The validity of certificates whose request names no times: from before now, for clocks that differ, until after any test.
const (
	defaultValidBefore = time.Hour
	defaultValidAfter  = 24 * time.Hour
)

// Issue signs a certificate for a new key.
func (a *Authority) Issue(request Request) Certificate {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must(err)
	if request.NotBefore.IsZero() {
		request.NotBefore = time.Now().Add(-defaultValidBefore)
	}
	if request.NotAfter.IsZero() {
		request.NotAfter = time.Now().Add(defaultValidAfter)
	}
	if request.ExtKeyUsage == nil {
		request.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	}
	t := &x509.Certificate{SerialNumber: a.nextSerial(), NotBefore: request.NotBefore, NotAfter: request.NotAfter,
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: request.ExtKeyUsage, Subject: pkix.Name{CommonName: "issued"}}
	for _, n := range request.Names {
		if ip := net.ParseIP(n); ip != nil {
			t.IPAddresses = append(t.IPAddresses, ip)
		} else if u, err := url.Parse(n); err == nil && strings.Contains(n, "://") {
			t.URIs = append(t.URIs, u)
		} else {
			t.DNSNames = append(t.DNSNames, n)
		}
	}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &key.PublicKey, a.key)
	must(err)
	leaf, err := x509.ParseCertificate(der)
	must(err)
	k, err := x509.MarshalPKCS8PrivateKey(key)
	must(err)
	chain := encodePEM("CERTIFICATE", der)
	if !bytes.Equal(a.cert.RawSubject, a.cert.RawIssuer) {
		chain = append(chain, a.CertificatePEM()...)
	}
	return Certificate{chain, encodePEM("PRIVATE KEY", k), t.SerialNumber, leaf}
}

// Revoke puts certificates on the revocation lists signed from now on.
func (a *Authority) Revoke(serials ...*big.Int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, n := range serials {
		a.revoked = append(a.revoked, x509.RevocationListEntry{SerialNumber: n, RevocationTime: time.Now()})
	}
}

// RevocationList signs a list of what is revoked, PEM, to be replaced by the given time.
func (a *Authority) RevocationList(next time.Time) []byte {
	a.mu.Lock()
	a.lists++
	t := &x509.RevocationList{Number: big.NewInt(a.lists), ThisUpdate: time.Now().Add(-time.Minute), NextUpdate: next, RevokedCertificateEntries: slices.Clone(a.revoked)}
	a.mu.Unlock()
	der, err := x509.CreateRevocationList(rand.Reader, t, a.cert, a.key)
	must(err)
	return encodePEM("X509 CRL", der)
}
