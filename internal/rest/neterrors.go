package rest

import (
	"crypto/tls"
	"errors"
	"net"
	"slices"
)

// certificateAlerts are the alerts with which a server rejects a client's certificate (RFC 8446, section 6.2).
var certificateAlerts = []tls.AlertError{42, 43, 44, 45, 46, 48, 49, 116}

// isCertificateRejection reports whether the server has closed a connection because it rejects the client's certificate.
// In TLS 1.3 a client learns that only with the first read. The alert proves that no request was read: the server had not
// finished the handshake.
func isCertificateRejection(err error) bool {
	var op *net.OpError
	if !errors.As(err, &op) || op.Op != "remote error" || op.Err == nil {
		return false
	}
	return slices.ContainsFunc(certificateAlerts, func(a tls.AlertError) bool { return op.Err.Error() == a.Error() })
}
