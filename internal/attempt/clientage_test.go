package attempt

import (
	"testing"

	"hollymast/control"
)

// Without a further check of the client's connection, the first byte of an attempt comes well within the grace
// after the client has disconnected.
func TestClientCheckAge(t *testing.T) {
	oldest := control.Micros(0) // age of a check that is still accepted
	for !MustCheckClient(oldest) {
		oldest++
	}
	if oldest == 0 || oldest > 50_000 {
		t.Errorf("written without a check for up to %d us", oldest)
	}
}
