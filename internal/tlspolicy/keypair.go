package tlspolicy

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"strings"

	"hollymast/control"
)

var errKeyMismatch = errors.New("the key is not that of the certificate")

// ParseKeyPair parses a certificate chain, which starts with the certificate to present, and its key (all PEM). It returns an error of one
// line if something can't be parsed, if the key does not match the certificate, if the first certificate is an authority's, or if a
// certificate in the chain did not sign the one before it.
func ParseKeyPair(chain, key []byte) (*tls.Certificate, error) {
	pair, err := tls.X509KeyPair(chain, key)
	if err != nil {
		if strings.Contains(err.Error(), "does not match") { // crypto/tls has no error value for a mismatch
			return nil, errKeyMismatch
		}
		return nil, fmt.Errorf("the certificate or its key can't be read: %w", err)
	}
	child := pair.Leaf
	if child.IsCA {
		return nil, errors.New("the certificate is an authority's, which signs others and serves none")
	}
	for i, der := range pair.Certificate[1:] {
		parent, err := x509.ParseCertificate(der)
		if err != nil {
			return nil, fmt.Errorf("certificate %d of the chain can't be read: %w", i+2, err)
		}
		if err := child.CheckSignatureFrom(parent); err != nil {
			return nil, fmt.Errorf("certificate %d of the chain did not sign the one before it", i+2)
		}
		child = parent
	}
	return &pair, nil
}

// chainExpiry returns the earliest expiry of the certificates in a chain.
func chainExpiry(pair *tls.Certificate) control.Micros {
	expiry := microsOf(pair.Leaf.NotAfter)
	for _, der := range pair.Certificate[1:] {
		if c, err := x509.ParseCertificate(der); err == nil { // ParseKeyPair has parsed it
			expiry = min(expiry, microsOf(c.NotAfter))
		}
	}
	return expiry
}
