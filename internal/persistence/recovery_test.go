package persistence

import (
	"slices"
	"testing"

	"hollymast/control"
)

// The state holds what was sent before it was saved; Apply adds from the journal only what came later, and adds it once.
func TestApplyAddsWhatTheStateLacks(t *testing.T) {
	state := &control.LearnedState{SavedAt: 100, LoadCommands: []control.Micros{90},
		Servers: []control.LearnedServer{{Server: 5, SlowStartSends: []control.Micros{95}}}}
	index := ApplyEntries(state, []Entry{{EntryLoadCommand, 90, 0, 5}, {EntrySlowStartSend, 95, 0, 5}, {EntryAttempt, 96, 9, 5},
		{EntryLoadCommand, 110, 0, 5}, {EntrySlowStartSend, 120, 0, 5},
		{EntrySlowStartSend, 130, 0, 3}, {EntryAttempt, 131, 11, 3}, {EntryNotRun, 132, 11, 3}}, minute, 100)
	if !slices.Equal(state.LoadCommands, []control.Micros{90, 110}) || len(state.Servers) != 2 || state.Servers[0].Server != 3 ||
		!slices.Equal(state.Servers[0].SlowStartSends, []control.Micros{130}) ||
		!slices.Equal(state.Servers[1].SlowStartSends, []control.Micros{95, 120}) {
		t.Errorf("got %+v", state)
	}
	if len(index.MayHaveRun(200, 9)) != 1 || len(index.MayHaveRun(200, 11)) != 0 {
		t.Error("the index does not match the journal")
	}
}
