package persistence

import (
	"os"
	"slices"
	"testing"

	"hollymast/control"
)

// A state's times are converted if it was saved during the same boot. Otherwise those that restrict the gateway are set to now, and the
// others are dropped.
func TestStateOfAnotherClock(t *testing.T) {
	newState := func() *State {
		state := testState(1000)
		state.Learned.LoadCommands, state.Learned.Admitted, state.Learned.Answers = []control.Micros{900}, []control.Micros{910}, []control.Micros{920}
		state.Learned.Servers[0].SlowStartSends, state.Learned.Servers[0].StartedAt = []control.Micros{930}, 5
		state.Clock = &Clock{7, 100}
		return state
	}
	reencode := func(state *State) *State {
		t.Helper()
		b, err := Encode(state)
		if err == nil {
			state, err = Decode(b)
		}
		if err != nil {
			t.Fatal(err)
		}
		return state
	}
	state := reencode(newState())
	state.ConvertTimes(Clock{7, 3600e6 + 100}, 3600e6+2000) // the clock was set an hour ahead, and 1 ms has passed
	learned := state.Learned
	if learned.SavedAt != 3600e6+1000 || learned.LoadCommands[0] != 3600e6+900 || learned.Admitted[0] != 3600e6+910 || learned.Answers[0] != 3600e6+920 ||
		learned.Servers[0].SlowStartSends[0] != 3600e6+930 || learned.Servers[0].StartedAt != 5 || learned.Functions[0].Instances[0].LastUsed != 3600e6+1000 {
		t.Errorf("within a boot: %+v", learned)
	}
	unknown := newState()
	unknown.Clock = nil
	fromFuture := newState()
	fromFuture.Clock.Offset = -1e9 // would convert the state's times into the future
	for name, state := range map[string]*State{"another boot": {Learned: newState().Learned, Clock: &Clock{8, 100}},
		"no clock": reencode(unknown), "of the future": fromFuture} {
		state.ConvertTimes(Clock{7, 100}, 5000)
		if learned := state.Learned; learned.SavedAt != 0 || !slices.Equal(learned.LoadCommands, []control.Micros{5000}) ||
			len(learned.Admitted)+len(learned.Answers) > 0 || !slices.Equal(learned.Servers[0].SlowStartSends, []control.Micros{5000}) {
			t.Errorf("%s: got %+v", name, learned)
		}
	}
	b, err := os.ReadFile("testdata/format1")
	if err != nil {
		t.Fatal(err)
	}
	if state, err = Decode(b); err != nil || state.Clock != nil {
		t.Fatal(err)
	}
	state.ConvertTimes(Clock{7, 100}, 5000)
	if state.Learned.SavedAt != 0 || len(state.Learned.Functions) < 10 {
		t.Errorf("a file without a clock: %+v", state.Learned)
	}
}
