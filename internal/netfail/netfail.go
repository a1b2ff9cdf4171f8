// Package netfail tells failures of connections that say nothing about the peer from those that count against it, and
// retries dials that fail with the former.
package netfail

import (
	"context"
	"errors"
	"os"
	"slices"
	"syscall"
	"time"
)

// localErrnos are this machine's shortages: of descriptors, ports or memory, and interrupted system calls.
var localErrnos = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.EADDRNOTAVAIL, syscall.EINTR,
	syscall.EAGAIN,
}

// transientErrnos are network faults that may pass at once.
var transientErrnos = []syscall.Errno{syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN, syscall.ECONNABORTED}

// IsLocal reports whether an error is this machine's shortage, and says nothing about the peer.
func IsLocal(err error) bool { return isAny(err, localErrnos) }

// IsTransient reports whether an error is a network fault that may pass at once. A lasting one counts against the peer.
func IsTransient(err error) bool { return isAny(err, transientErrnos) }

func isAny(err error, errnos []syscall.Errno) bool {
	return slices.ContainsFunc(errnos, func(errno syscall.Errno) bool { return errors.Is(err, errno) })
}

// firstDialPause is the first pause before a dial that failed is retried, doubled up to maxDialPause: such a failure may
// last no longer than one packet.
const firstDialPause, maxDialPause = 2 * time.Millisecond, 50 * time.Millisecond

// RetryTiming is whether a dial is retried after a pause.
type RetryTiming uint8

// When a dial is retried.
const (
	RetryAfterPause  RetryTiming = iota
	RetryImmediately             // what the dial lacked is there now
)

// Dial dials until it succeeds, ctx ends, or a failure counts against the peer. onFailure is called for each failure that
// does not. Once a local failure has taken a part of ctx's time, a timeout is no sign about the peer either: the error is
// then that local failure.
func Dial[Conn any](ctx context.Context, dial func() (Conn, error), onFailure func(error) RetryTiming) (Conn, error) {
	var previous error // why the last dial failed, where the peer is not to blame
	var none Conn
	for pause := firstDialPause; ; pause = min(2*pause, maxDialPause) {
		conn, err := dial()
		switch {
		case err == nil:
			return conn, nil
		case IsLocal(err), IsTransient(err):
		case IsLocal(previous) && os.IsTimeout(err):
			return none, previous // the peer only had what was left of the time
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
