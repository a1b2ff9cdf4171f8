package attempt

import (
	"testing"

	"hollymast/control"
)

// Exactly one of Withdraw and BeginWrite moves an attempt out of Chosen.
func TestOnlyOneTransitionLeavesChosen(t *testing.T) {
	for _, s := range []Stage{Writing, Withdrawn} {
		if _, ok := s.Withdraw(); ok {
			t.Errorf("withdrawn from %d", s)
		}
		if _, ok := s.BeginWrite(true, 0, 1); ok {
			t.Errorf("written from %d", s)
		}
	}
	if _, ok := Chosen.BeginWrite(true, 11, 10); ok {
		t.Error("written although the endpoint list is too old")
	}
	if _, ok := Chosen.BeginWrite(false, 0, 10); ok {
		t.Error("written although it is not allowed")
	}
}

// An exchange provably did not run only if nothing was written or the peer refused the handshake.
func TestInterruptedResult(t *testing.T) {
	for reason, want := range map[InterruptReason]bool{ClosedByPeer: false, AbortedLocally: false, DeadlineExceeded: false, CertificateRejected: true} {
		if InterruptedResult(true, reason).ProvesNotRun() != want || !InterruptedResult(false, reason).ProvesNotRun() {
			t.Errorf("%d: %v, %v", reason, InterruptedResult(true, reason), InterruptedResult(false, reason))
		}
	}
	if r := UnconnectedResult(Chosen, true); r != control.NotSent {
		t.Errorf("waited to dial: %v counts against the server", r)
	}
}

// An answer to a request that has its final response is dropped, and the request is kept until its last attempt has
// ended.
func TestLateAnswerIsDropped(t *testing.T) {
	var a FinalResponse
	a.AttemptBegan()
	if !a.Decide() || a.Decide() || a.Done() {
		t.Errorf("%+v", a)
	}
	if d := a.AttemptEnded(control.Succeeded); d != Drop || !a.Done() {
		t.Errorf("%v, %+v", d, a)
	}
}

// A cancellation after an attempt's end does nothing, since its connection may carry another attempt.
func TestCancelAfterEnd(t *testing.T) {
	var s Progress
	s.End()
	if s.Cancel() || s.End() {
		t.Errorf("%+v", s)
	}
}

// Connections are counted from opening to closing.
func TestConnectionsAreCounted(t *testing.T) {
	var c Connections
	if c.Acquire(1) != OpenNew || c.Acquire(1) != NoneLeft || !c.Release(true, true) || c.Acquire(1) != Reuse ||
		c.Release(true, false) || c != (Connections{}) {
		t.Errorf("%+v", c)
	}
}

// A wait for the journal ends when the endpoint list is stale or the attempt's timeout expires.
func TestJournalWait(t *testing.T) {
	for _, c := range [][4]control.Micros{{10, 100, 1000, 90}, {10, 100, 50, 50}, {200, 100, 50, 0}} {
		if got := MaxJournalWait(c[0], c[1], c[2]); got != c[3] {
			t.Errorf("%v: %d", c, got)
		}
	}
}
