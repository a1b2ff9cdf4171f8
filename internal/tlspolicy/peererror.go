package tlspolicy

import (
	"crypto/x509"
	"errors"
	"fmt"
)

// Reason is the reason why a peer is rejected.
type Reason uint8

// The reasons.
const (
	NoCertificate    Reason = iota // the peer presented none
	UnknownAuthority               // no trusted authority signed the peer's certificate
	NotYetValid
	Expired
	WrongName     // valid, but for another name than the expected one
	WrongKeyUsage // not issued for the peer's side of a connection
	Revoked
	NoAuthorities // there are no authorities to verify the peer with
)

// reasonNames are used as metric labels and must not change.
var reasonNames = [...]string{"no certificate", "unknown authority", "not yet valid", "expired", "wrong name", "wrong use", "revoked", "nothing to check by"}

// String returns the reason's name in metrics.
func (r Reason) String() string { return reasonNames[r] }

// PeerError is the error that is returned for a rejected peer.
type PeerError struct {
	Reason Reason
	Text   string // one line
}

// Error implements error.
func (e *PeerError) Error() string { return e.Text }

func newPeerError(r Reason, format string, args ...any) *PeerError {
	return &PeerError{Reason: r, Text: fmt.Sprintf(format, args...)}
}

// chainError converts an error of package x509 to a PeerError.
func chainError(leaf *x509.Certificate, err error) *PeerError {
	var invalid x509.CertificateInvalidError
	if errors.As(err, &invalid) {
		switch invalid.Reason {
		case x509.Expired:
			return newPeerError(Expired, "the certificate of %s ended at %s", subjectNames(invalid.Cert), formatTime(invalid.Cert.NotAfter))
		case x509.IncompatibleUsage:
			return newPeerError(WrongKeyUsage, "the certificate of %s is not meant for this side of a connection", subjectNames(leaf))
		}
	}
	return newPeerError(UnknownAuthority, "the certificate of %s: no trusted authority signed it", subjectNames(leaf))
}
