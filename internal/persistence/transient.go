package persistence

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

// transientErrors are file system errors that may go away by themselves. Other errors mean that the directory is misconfigured.
var transientErrors = []syscall.Errno{syscall.EIO, syscall.ENOSPC, syscall.EDQUOT, syscall.ENOMEM, syscall.EMFILE,
	syscall.ENFILE, syscall.EINTR, syscall.ETIMEDOUT, syscall.ESTALE}

// IsTransient reports whether a file system error may go away by itself.
func IsTransient(err error) bool {
	return slices.ContainsFunc(transientErrors, func(e syscall.Errno) bool { return errors.Is(err, e) })
}

// maxStartAttempts is how often an operation that fails with a transient error is attempted during startup. With a delay that doubles
// from 5 ms this takes 0.6 s in total, a small part of the time in which a gateway is expected to be ready.
const maxStartAttempts = 8

// RetryTransient calls f up to maxStartAttempts times, until it succeeds or fails with an error that isn't transient. The delay between
// calls doubles each time.
func RetryTransient(delay time.Duration, f func() error) (err error) {
	for i := range maxStartAttempts {
		if err = f(); !IsTransient(err) || i+1 == maxStartAttempts {
			break
		}
		time.Sleep(delay)
		delay *= 2
	}
	return err
}
