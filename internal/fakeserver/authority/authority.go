// Package authority is a small certificate authority for tests and for days in the laboratory: what it signs is as real as any,
// and its keys live no longer than the process.
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

// Authority signs certificates and lists of revoked ones.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey

	mu      sync.Mutex
	serial  int64
	lists   int64
	revoked []x509.RevocationListEntry
}

// Issued is a certificate with its key, PEM.
type Certificate struct {
	Chain, Key []byte
	Serial     *big.Int
	Leaf       *x509.Certificate
}

// Asked is what a certificate is asked for.
type Request struct {
	Names               []string // DNS names, IP addresses, URIs
	NotBefore, NotAfter time.Time
	Uses                []x509.ExtKeyUsage // none: both sides of a connection
}

// far is how long an authority lives: longer than any test.
const far = 10 * 365 * 24 * time.Hour

// New gives an authority, signed by itself.
func New(name string) *Authority { return sign(name, nil) }

// Below gives an authority that this one signed.
func (a *Authority) Intermediate(name string) *Authority { return sign(name, a) }

func sign(name string, above *Authority) *Authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must(err)
	t := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-far), NotAfter: time.Now().Add(far),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageCRLSign}
	parent, signer := t, key
	if above != nil {
		parent, signer = above.cert, above.key
		t.SerialNumber = above.next()
	}
	der, err := x509.CreateCertificate(rand.Reader, t, parent, &key.PublicKey, signer)
	must(err)
	cert, err := x509.ParseCertificate(der)
	must(err)
	return &Authority{cert: cert, key: key, serial: 1}
}

func must(err error) {
	if err != nil {
		panic(err) // our own templates and a working source of chance
	}
}

func (a *Authority) next() *big.Int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.serial++
	return big.NewInt(a.serial)
}

// Cert is the authority's own certificate, PEM.
func (a *Authority) CertificatePEM() []byte { return block("CERTIFICATE", a.cert.Raw) }

func block(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// Issue signs a certificate for a new key. Without times it is valid from an hour ago for a day.
func (a *Authority) Issue(q Request) Certificate {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must(err)
	if q.NotBefore.IsZero() {
		q.NotBefore = time.Now().Add(-time.Hour)
	}
	if q.NotAfter.IsZero() {
		q.NotAfter = time.Now().Add(24 * time.Hour)
	}
	if q.Uses == nil {
		q.Uses = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	}
	t := &x509.Certificate{SerialNumber: a.next(), NotBefore: q.NotBefore, NotAfter: q.NotAfter, KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: q.Uses,
		Subject: pkix.Name{CommonName: "issued"}}
	for _, n := range q.Names {
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
	chain := block("CERTIFICATE", der)
	if !bytes.Equal(a.cert.RawSubject, a.cert.RawIssuer) {
		chain = append(chain, a.CertificatePEM()...)
	}
	return Certificate{chain, block("PRIVATE KEY", k), t.SerialNumber, leaf}
}

// Revoke puts certificates on the lists signed from now on.
func (a *Authority) Revoke(serials ...*big.Int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, n := range serials {
		a.revoked = append(a.revoked, x509.RevocationListEntry{SerialNumber: n, RevocationTime: time.Now()})
	}
}

// List signs a list of what is revoked, PEM, to be replaced by the given time.
func (a *Authority) RevocationList(next time.Time) []byte {
	a.mu.Lock()
	a.lists++
	t := &x509.RevocationList{Number: big.NewInt(a.lists), ThisUpdate: time.Now().Add(-time.Minute), NextUpdate: next, RevokedCertificateEntries: slices.Clone(a.revoked)}
	a.mu.Unlock()
	der, err := x509.CreateRevocationList(rand.Reader, t, a.cert, a.key)
	must(err)
	return block("X509 CRL", der)
}
