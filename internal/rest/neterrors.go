package rest

import (
	"crypto/tls"
	"errors"
	"net"
	"slices"
	"syscall"
)

// Ours tells of a fault that is this machine's, and no sign about the other end.
func LocalFailure(err error) bool {
	return slices.ContainsFunc([]error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC,
		syscall.EADDRNOTAVAIL, syscall.EINTR, syscall.EAGAIN}, func(one error) bool { return errors.Is(err, one) })
}

// Momentary tells of a fault of the way that may be over in a moment. One that lasts is a sign about the other end.
func TransientFailure(err error) bool {
	return errors.Is(err, syscall.ENETUNREACH) || errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETDOWN) ||
		errors.Is(err, syscall.ECONNABORTED)
}

// refusals are the alerts with which a server refuses a client that it does not believe (RFC 8446, section 6.2).
var certificateAlerts = []tls.AlertError{42, 43, 44, 45, 46, 48, 49, 116}

// refused tells whether the other end broke a connection off because it does not believe us. In TLS 1.3 a client learns it only
// with the first answer. The alert proves that no request was read: its server had not finished the handshake.
func isCertificateRejection(err error) bool {
	var op *net.OpError
	if !errors.As(err, &op) || op.Op != "remote error" || op.Err == nil {
		return false
	}
	return slices.ContainsFunc(certificateAlerts, func(a tls.AlertError) bool { return op.Err.Error() == a.Error() })
}
