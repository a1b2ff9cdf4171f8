package netfail

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// wrapped returns a system call's error as the standard library does, wrapped once more.
func wrapped(errno syscall.Errno) error {
	return fmt.Errorf("dial: %w", &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)})
}

func TestClassesOfErrors(t *testing.T) {
	for errno, want := range map[syscall.Errno]struct{ local, transient bool }{
		syscall.EMFILE: {local: true}, syscall.ENFILE: {local: true}, syscall.ENOBUFS: {local: true}, syscall.ENOMEM: {local: true},
		syscall.ENOSPC: {local: true}, syscall.EADDRNOTAVAIL: {local: true}, syscall.EINTR: {local: true}, syscall.EAGAIN: {local: true},
		syscall.ENETUNREACH: {transient: true}, syscall.EHOSTUNREACH: {transient: true}, syscall.ENETDOWN: {transient: true},
		syscall.ECONNABORTED: {transient: true},
		syscall.ECONNREFUSED: {}, syscall.ECONNRESET: {}, syscall.ETIMEDOUT: {}, syscall.EPIPE: {},
	} {
		if err := wrapped(errno); IsLocal(err) != want.local || IsTransient(err) != want.transient {
			t.Errorf("%v: local %t, transient %t", errno, IsLocal(err), IsTransient(err))
		}
	}
	if IsLocal(nil) || IsTransient(nil) || IsLocal(context.Canceled) || IsTransient(context.DeadlineExceeded) {
		t.Error("no system call has failed")
	}
}

func TestDial(t *testing.T) {
	local, transient, refused := wrapped(syscall.EMFILE), wrapped(syscall.ENETUNREACH), wrapped(syscall.ECONNREFUSED)
	timeout := os.ErrDeadlineExceeded
	for name, c := range map[string]struct {
		failures []error // of the first dials; the last one's is repeated if forever
		forever  bool
		again    RetryTiming
		err      error
		dials    int
		took     time.Duration
	}{
		"succeeds":                   {dials: 1},
		"local, then succeeds":       {failures: []error{local}, dials: 2, took: 2 * time.Millisecond},
		"transient, then succeeds":   {failures: []error{transient, transient}, dials: 3, took: 6 * time.Millisecond},
		"retried at once":            {failures: []error{local, local}, again: RetryImmediately, dials: 3},
		"refused":                    {failures: []error{refused}, err: refused, dials: 1},
		"times out":                  {failures: []error{timeout}, err: timeout, dials: 1},
		"local, then times out":      {failures: []error{local, timeout}, err: local, dials: 2, took: 2 * time.Millisecond},
		"transient, then times out":  {failures: []error{transient, timeout}, err: timeout, dials: 2, took: 2 * time.Millisecond},
		"local until the time is up": {failures: []error{local}, forever: true, err: local, dials: 24, took: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				begun, dials, failures := time.Now(), 0, 0
				conn, err := Dial(ctx, func() (string, error) {
					i := dials
					dials++
					if c.forever {
						i = 0
					}
					if i < len(c.failures) {
						return "", c.failures[i]
					}
					return "connection", nil
				}, func(error) RetryTiming {
					failures++
					return c.again
				})
				if !errors.Is(err, c.err) || (err == nil) != (conn == "connection") {
					t.Errorf("got %q, %v", conn, err)
				}
				if took := time.Since(begun); dials != c.dials || took != c.took {
					t.Errorf("%d dials in %v, want %d in %v", dials, took, c.dials, c.took)
				}
			})
		})
	}
}
