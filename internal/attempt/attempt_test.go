package attempt

import (
	"testing"

	"hollymast/control"
)

// Exactly one of those who withdraw and those who write takes a sending out of Chosen.
func TestOneLeavesChosen(t *testing.T) {
	for _, s := range []Stage{Writing, Withdrawn} {
		if _, ok := s.Withdraw(); ok {
			t.Errorf("withdrawn from %d", s)
		}
		if _, ok := s.Write(true, 0, 1); ok {
			t.Errorf("written from %d", s)
		}
	}
	if _, ok := Chosen.Write(true, 11, 10); ok {
		t.Error("an old choice is written")
	}
	if _, ok := Chosen.Write(false, 0, 10); ok {
		t.Error("written before the journal has it")
	}
}

// Only what was not written, or came from nobody who believed us, is proved not to have run.
func TestWhatBreaksProve(t *testing.T) {
	for why, want := range map[BreakReason]bool{ByPeer: false, ByUs: false, ByDeadline: false, ByAuthentication: true} {
		if BrokenResult(true, why).ProvesNotRun() != want || !BrokenResult(false, why).ProvesNotRun() {
			t.Errorf("%d: %v, %v", why, BrokenResult(true, why), BrokenResult(false, why))
		}
	}
	if r := UndialledResult(Chosen, true); r != control.NotSent {
		t.Errorf("waited for its turn to dial: %v tells something of the server", r)
	}
}

// An answer that comes when the job has one is dropped, and the job is kept until its last execution has ended.
func TestLateAnswerIsDropped(t *testing.T) {
	var a FinalAnswer
	a.AttemptBegan()
	if !a.Give() || a.Give() || a.Done() {
		t.Errorf("%+v", a)
	}
	if d := a.AttemptEnded(control.Succeeded); d != Drop || !a.Done() {
		t.Errorf("%v, %+v", d, a)
	}
}

// A call-off after a sending's end does nothing: its connection may carry another.
func TestCallOffAfterTheEnd(t *testing.T) {
	var s Progress
	s.End()
	if s.Cancel() || s.End() {
		t.Errorf("%+v", s)
	}
}

// Connections are counted through all of their lives.
func TestConnectionsAreCounted(t *testing.T) {
	var c Connections
	if c.Acquire(1) != OpenNew || c.Acquire(1) != NoneLeft || !c.Release(true, true) || c.Acquire(1) != Reuse || c.Release(true, false) || c != (Connections{}) {
		t.Errorf("%+v", c)
	}
}

// A wait for the journal ends with the choice's freshness, and before its time is up.
func TestWaitForTheJournal(t *testing.T) {
	for _, c := range [][4]control.Micros{{10, 100, 1000, 90}, {10, 100, 50, 50}, {200, 100, 50, 0}} {
		if got := JournalWait(c[0], c[1], c[2]); got != c[3] {
			t.Errorf("%v: %d", c, got)
		}
	}
}
