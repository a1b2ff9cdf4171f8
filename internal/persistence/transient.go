package persistence

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

// passing are the errors of a folder that may be over in a moment. What others tell is how it was set up.
var transientErrors = []syscall.Errno{syscall.EIO, syscall.ENOSPC, syscall.EDQUOT, syscall.ENOMEM, syscall.EMFILE, syscall.ENFILE, syscall.EINTR,
	syscall.ETIMEDOUT, syscall.ESTALE}

// Passing tells whether an error may be over in a moment.
func IsTransient(err error) bool {
	return slices.ContainsFunc(transientErrors, func(e syscall.Errno) bool { return errors.Is(err, e) })
}

// startTries is how often a start tries what fails for a moment: with a pause that doubles from 5 ms, 0.6 s in all, a small part of
// what a router may take to be ready.
const startAttempts = 8

// Patiently calls f until it gives no error that may be over in a moment, and so often at most.
func RetryTransient(pause time.Duration, f func() error) (err error) {
	for i := range startAttempts {
		if err = f(); !IsTransient(err) || i+1 == startAttempts {
			break
		}
		time.Sleep(pause)
		pause *= 2
	}
	return err
}
