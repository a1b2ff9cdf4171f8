package rest

import (
	"crypto/tls"
	"errors"
	"net"
	"slices"
	"syscall"
)

// LocalFailure reports whether an error is this machine's shortage, and says nothing about the peer.
func LocalFailure(err error) bool {
	return slices.ContainsFunc([]error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC,
		syscall.EADDRNOTAVAIL, syscall.EINTR, syscall.EAGAIN}, func(errno error) bool { return errors.Is(err, errno) })
}

// TransientFailure reports whether an error is a network fault that may pass at once. A lasting one counts against the
// peer.
func TransientFailure(err error) bool {
	return errors.Is(err, syscall.ENETUNREACH) || errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETDOWN) ||
		errors.Is(err, syscall.ECONNABORTED)
}

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
