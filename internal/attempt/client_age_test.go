package attempt

import (
	"testing"

	"hollymast/control"
)

// An attempt that needs no further check of its client's connection is written well within clientGrace.
func TestClientCheckAge(t *testing.T) {
	oldest := control.Micros(0) // age of a check that is still accepted
	for !MustCheckClient(oldest) {
		oldest++
	}
	if oldest == 0 || oldest > 50_000 {
		t.Errorf("written without a check for up to %d us", oldest)
	}
}
