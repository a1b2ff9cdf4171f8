package rest

import (
	"crypto/tls"
	"errors"
	"net"
	"slices"
)

// certificateAlerts are the TLS alerts with which a server rejects a client's certificate (RFC 8446, section 6.2).
var certificateAlerts = []tls.AlertError{42, 43, 44, 45, 46, 48, 49, 116}

// isCertificateRejection reports whether err is a TLS alert with which the server rejected the client's certificate. In
// TLS 1.3 the client receives it only with its first read. It proves that the server read no request, since the handshake
// was not finished.
func isCertificateRejection(err error) bool {
	var op *net.OpError
	if !errors.As(err, &op) || op.Op != "remote error" || op.Err == nil {
		return false
	}
	return slices.ContainsFunc(certificateAlerts, func(a tls.AlertError) bool { return op.Err.Error() == a.Error() })
}
