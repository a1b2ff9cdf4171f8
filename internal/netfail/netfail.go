// Package netfail distinguishes connection failures that say nothing about the peer from those that count against it,
// and retries dials that fail with the former.
package netfail

import (
	"context"
	"errors"
	"os"
	"slices"
	"syscall"
	"time"
)

// localErrnos are failures of this machine: it is out of descriptors, ports or memory, or a system call was
// interrupted.
var localErrnos = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.EADDRNOTAVAIL, syscall.EINTR,
	syscall.EAGAIN,
}

// transientErrnos are network failures that may be over in a moment.
var transientErrnos = []syscall.Errno{syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN, syscall.ECONNABORTED}

// IsLocal reports whether an error is a failure of this machine, which says nothing about the peer.
func IsLocal(err error) bool { return isAny(err, localErrnos) }

// IsTransient reports whether an error is a network failure that may be over in a moment. A lasting one counts against
// the peer.
func IsTransient(err error) bool { return isAny(err, transientErrnos) }

func isAny(err error, errnos []syscall.Errno) bool {
	return slices.ContainsFunc(errnos, func(errno syscall.Errno) bool { return errors.Is(err, errno) })
}

// firstDialPause is the pause before the first retry of a failed dial, doubled up to maxDialPause. It is short because
// the failure may affect only a single packet.
const firstDialPause, maxDialPause = 2 * time.Millisecond, 50 * time.Millisecond

// RetryTiming is when a failed dial is retried.
type RetryTiming uint8

// The times of a retry.
const (
	RetryAfterPause  RetryTiming = iota
	RetryImmediately             // the resource that the dial lacked is available now
)

// Dial calls dial until it succeeds, ctx ends, or a failure counts against the peer. It calls onFailure for each
// failure that does not. After a local failure has used up part of ctx's time, a timeout says nothing about the peer
// either; Dial then returns the local failure.
func Dial[Conn any](ctx context.Context, dial func() (Conn, error), onFailure func(error) RetryTiming) (Conn, error) {
	var previous error // the last failure that does not count against the peer
	var none Conn
	for pause := firstDialPause; ; pause = min(2*pause, maxDialPause) {
		conn, err := dial()
		switch {
		case err == nil:
			return conn, nil
		case IsLocal(err), IsTransient(err):
		case IsLocal(previous) && os.IsTimeout(err):
			return none, previous // the peer had only the rest of the time
		default:
			return none, err
		}
		previous = err
		if onFailure(err) == RetryImmediately {
			continue
		}
		select {
		case <-ctx.Done():
			return none, err
		case <-time.After(pause):
		}
	}
}
