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
	for why, want := range map[Cut]bool{Lost: false, Aborted: false, Late: false, Refused: true} {
		if Broken(true, why).ProvesNotRun() != want || !Broken(false, why).ProvesNotRun() {
			t.Errorf("%d: %v, %v", why, Broken(true, why), Broken(false, why))
		}
	}
	if r := Undialled(Chosen, true); r != control.NotSent {
		t.Errorf("waited for its turn to dial: %v tells something of the server", r)
	}
}

// An answer that comes when the job has one is dropped, and the job is kept until its last execution has ended.
func TestLateAnswerIsDropped(t *testing.T) {
	var a Answer
	a.Sent()
	if !a.Give() || a.Give() || a.Over() {
		t.Errorf("%+v", a)
	}
	if d := a.Ended(control.Succeeded); d != Drop || !a.Over() {
		t.Errorf("%v, %+v", d, a)
	}
}

// A call-off after a sending's end does nothing: its connection may carry another.
func TestCallOffAfterTheEnd(t *testing.T) {
	var s Sending
	s.End()
	if s.CallOff() || s.End() {
		t.Errorf("%+v", s)
	}
}

// Connections are counted through all of their lives.
func TestConnectionsAreCounted(t *testing.T) {
	var c Connections
	if c.Take(1) != Open || c.Take(1) != NoRoom || !c.Back(true, true) || c.Take(1) != Reuse || c.Back(true, false) || c != (Connections{}) {
		t.Errorf("%+v", c)
	}
}

// A wait for the journal ends with the choice's freshness, and before its time is up.
func TestWaitForTheJournal(t *testing.T) {
	for _, c := range [][4]control.Micros{{10, 100, 1000, 90}, {10, 100, 50, 50}, {200, 100, 50, 0}} {
		if got := KeepWait(c[0], c[1], c[2]); got != c[3] {
			t.Errorf("%v: %d", c, got)
		}
	}
}
