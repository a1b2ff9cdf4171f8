package rest

import (
	"errors"
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
