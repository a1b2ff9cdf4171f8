// Package authority is a small certificate authority for tests and for the chaos tester. Its certificates are real X.509
// certificates; its keys exist in memory only.
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

// Authority is a certificate authority: it issues certificates and signs revocation lists.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey

	mu            sync.Mutex
	lastSerial    int64
	lastCRLNumber int64
	revoked       []x509.RevocationListEntry
}

// Certificate is an issued certificate with its private key.
type Certificate struct {
	Chain, Key []byte // PEM
	Serial     *big.Int
	Leaf       *x509.Certificate
}

// Request describes the certificate to issue.
type Request struct {
	Names               []string // subject alternative names: DNS names, IP addresses or URIs
	NotBefore, NotAfter time.Time
	ExtKeyUsage         []x509.ExtKeyUsage // nil: server and client authentication
}

// authorityValidity is how long an authority's certificate is valid before and after its creation: longer than any test runs.
const authorityValidity = 10 * 365 * 24 * time.Hour

// New returns a self-signed authority.
func New(name string) *Authority { return newAuthority(name, nil) }

// NewIntermediate returns an intermediate authority signed by this one.
func (a *Authority) NewIntermediate(name string) *Authority { return newAuthority(name, a) }

// newAuthority returns an authority signed by issuer, or self-signed if issuer is nil.
func newAuthority(name string, issuer *Authority) *Authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must(err)
	return &Authority{cert: createCertificate(name, key, issuer), key: key, lastSerial: 1}
}

// ReissueCertificatePEM returns another self-signed certificate of the authority, with the same name and key.
func (a *Authority) ReissueCertificatePEM() []byte {
	return encodePEM("CERTIFICATE", createCertificate(a.cert.Subject.CommonName, a.key, nil).Raw)
}

// createCertificate returns the certificate of an authority, signed by issuer, or self-signed if issuer is nil.
func createCertificate(name string, key *ecdsa.PrivateKey, issuer *Authority) *x509.Certificate {
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-authorityValidity), NotAfter: time.Now().Add(authorityValidity),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageCRLSign}
	parent, signer := template, key
	if issuer != nil {
		parent, signer = issuer.cert, issuer.key
		template.SerialNumber = issuer.nextSerial()
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	must(err)
	cert, err := x509.ParseCertificate(der)
	must(err)
	return cert
}

func must(err error) {
	if err != nil {
		panic(err) // cannot fail unless the random source does: templates and keys are this package's own
	}
}

func (a *Authority) nextSerial() *big.Int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastSerial++
	return big.NewInt(a.lastSerial)
}

// CertificatePEM returns the authority's own certificate, without its issuer's.
func (a *Authority) CertificatePEM() []byte { return encodePEM("CERTIFICATE", a.cert.Raw) }

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// Default validity of issued certificates. It starts in the past, to tolerate clocks that differ, and outlasts any test.
const (
	defaultValidBefore = time.Hour
	defaultValidAfter  = 24 * time.Hour
)

// Issue creates a key and issues a certificate for it.
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
	template := &x509.Certificate{SerialNumber: a.nextSerial(), NotBefore: request.NotBefore, NotAfter: request.NotAfter,
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: request.ExtKeyUsage, Subject: pkix.Name{CommonName: "issued"}}
	for _, n := range request.Names {
		if ip := net.ParseIP(n); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
		} else if u, err := url.Parse(n); err == nil && strings.Contains(n, "://") {
			template.URIs = append(template.URIs, u)
		} else {
			template.DNSNames = append(template.DNSNames, n)
		}
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	must(err)
	leaf, err := x509.ParseCertificate(der)
	must(err)
	pkcs8Key, err := x509.MarshalPKCS8PrivateKey(key)
	must(err)
	chain := encodePEM("CERTIFICATE", der)
	if !bytes.Equal(a.cert.RawSubject, a.cert.RawIssuer) {
		chain = append(chain, a.CertificatePEM()...)
	}
	return Certificate{chain, encodePEM("PRIVATE KEY", pkcs8Key), template.SerialNumber, leaf}
}

// Revoke adds certificates to the revocation lists signed from now on.
func (a *Authority) Revoke(serials ...*big.Int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, n := range serials {
		a.revoked = append(a.revoked, x509.RevocationListEntry{SerialNumber: n, RevocationTime: time.Now()})
	}
}

// RevocationList signs a list of all revoked certificates (PEM); next is when an updated list is due.
func (a *Authority) RevocationList(next time.Time) []byte {
	a.mu.Lock()
	a.lastCRLNumber++
	template := &x509.RevocationList{Number: big.NewInt(a.lastCRLNumber), ThisUpdate: time.Now().Add(-time.Minute), NextUpdate: next, RevokedCertificateEntries: slices.Clone(a.revoked)}
	a.mu.Unlock()
	der, err := x509.CreateRevocationList(rand.Reader, template, a.cert, a.key)
	must(err)
	return encodePEM("X509 CRL", der)
}
