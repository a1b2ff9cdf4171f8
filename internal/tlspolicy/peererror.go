package tlspolicy

import (
	"crypto/x509"
	"errors"
	"fmt"
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
