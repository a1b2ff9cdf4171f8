package tlspolicy

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"hollymast/control"
)

// ReadPair reads a certificate, with those that lead from it towards its authority, and its key, all PEM. Errors say in one
// line what is wrong: what can't be read, a key of another certificate, a chain whose next certificate did not sign the last.
func ParseKeyPair(chain, key []byte) (*tls.Certificate, error) {
	pair, err := tls.X509KeyPair(chain, key)
	if err != nil {
		if bytes.Contains([]byte(err.Error()), []byte("does not match")) {
			return nil, errKeyMismatch
		}
		return nil, fmt.Errorf("the certificate or its key can't be read: %w", err)
	}
	under := pair.Leaf
	if under.IsCA {
		return nil, errors.New("the certificate is an authority's, which signs others and serves none")
	}
	for i, der := range pair.Certificate[1:] {
		over, err := x509.ParseCertificate(der)
		if err != nil {
			return nil, fmt.Errorf("certificate %d of the chain can't be read: %w", i+2, err)
		}
		if err := under.CheckSignatureFrom(over); err != nil {
			return nil, fmt.Errorf("certificate %d of the chain did not sign the one before it", i+2)
		}
		under = over
	}
	return &pair, nil
}

var errKeyMismatch = errors.New("the key is not that of the certificate")

// ends is when the first certificate of a pair's chain ends.
func chainExpiry(p *tls.Certificate) control.Micros {
	end := microsOf(p.Leaf.NotAfter)
	for _, der := range p.Certificate[1:] {
		if c, err := x509.ParseCertificate(der); err == nil { // read before
			end = min(end, microsOf(c.NotAfter))
		}
	}
	return end
}
