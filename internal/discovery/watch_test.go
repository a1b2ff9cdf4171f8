package discovery

import (
	"errors"
	"syscall"
	"testing"
)

// A read interrupted by a signal is retried a limited number of times. If it still fails, the watch ends and the client
// reconnects.
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
