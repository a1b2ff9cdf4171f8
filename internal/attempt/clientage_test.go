package attempt

import (
	"testing"

	"hollymast/control"
)

// Whatever a client does, the first byte of an attempt without a look comes well within what is allowed after it has gone.
func TestClientAge(t *testing.T) {
	oldest := control.Micros(0) // a look that is taken for good
	for !MustLook(oldest) {
		oldest++
	}
	if oldest == 0 || oldest > 50_000 {
		t.Errorf("written without a look for up to %d us", oldest)
	}
}
