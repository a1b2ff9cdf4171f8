package discovery

import (
	"errors"
	"syscall"
	"testing"
)

// A read that a signal interrupts is repeated, but not for ever; one that goes on failing ends the watch, and
// the client reconnects.
func TestInterruptedRead(t *testing.T) {
	defer func() { read = syscall.Read }()
	for times := range 20 {
		calls := 0
		read = func(int, []byte) (int, error) {
			if calls++; calls <= times {
				return -1, syscall.EINTR
			}
			return -1, syscall.EAGAIN
		}
		w := &watch{}
		err := w.readAvailable(0, nil)
		ok := times <= maxInterruptions
		if (err == nil) != ok || !ok && !errors.Is(err, syscall.EINTR) || w.completeAsOf.IsZero() == ok ||
			calls > maxInterruptions+1 {
			t.Errorf("interrupted %d times: %v after %d calls", times, err, calls)
		}
	}
}
