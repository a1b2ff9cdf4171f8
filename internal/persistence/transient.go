package persistence

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

// transientErrors are those of a directory that may be over in a moment. Others say that it is set up wrongly.
var transientErrors = []syscall.Errno{syscall.EIO, syscall.ENOSPC, syscall.EDQUOT, syscall.ENOMEM, syscall.EMFILE,
	syscall.ENFILE, syscall.EINTR, syscall.ETIMEDOUT, syscall.ESTALE}

// IsTransient reports whether an error may be over in a moment.
func IsTransient(err error) bool {
	return slices.ContainsFunc(transientErrors, func(e syscall.Errno) bool { return errors.Is(err, e) })
}

// startAttempts is how often a start attempts what fails with a transient error. With a delay that doubles from 5 ms that is 0.6 s in
// all, a small part of the time in which a gateway is expected to be ready.
const startAttempts = 8

// RetryTransient calls f until it succeeds or fails with an error that isn't transient, up to startAttempts times. The delay doubles
// with each call.
func RetryTransient(delay time.Duration, f func() error) (err error) {
	for i := range startAttempts {
		if err = f(); !IsTransient(err) || i+1 == startAttempts {
			break
		}
		time.Sleep(delay)
		delay *= 2
	}
	return err
}
