package persistence

import (
	"os"
	"slices"
	"testing"

	"hollymast/control"
)

// A state's times are converted within a boot. Else what limits us counts as of now, and the rest is dropped.
func TestStateOfAnotherClock(t *testing.T) {
	of := func() *State {
		k := testState(1000)
		k.Learned.LoadCommands, k.Learned.Admitted, k.Learned.Answers = []control.Micros{900}, []control.Micros{910}, []control.Micros{920}
		k.Learned.Servers[0].SlowStartSends, k.Learned.Servers[0].StartedAt = []control.Micros{930}, 5
		k.Clock = &Clock{7, 100}
		return k
	}
	read := func(k *State) *State {
		t.Helper()
		b, err := Encode(k)
		if err == nil {
			k, err = Decode(b)
		}
		if err != nil {
			t.Fatal(err)
		}
		return k
	}
	k := read(of())
	k.ConvertTimes(Clock{7, 3600e6 + 100}, 3600e6+2000) // the clock was set an hour ahead, and 1 ms has passed
	m := k.Learned
	if m.SavedAt != 3600e6+1000 || m.LoadCommands[0] != 3600e6+900 || m.Admitted[0] != 3600e6+910 || m.Answers[0] != 3600e6+920 ||
		m.Servers[0].SlowStartSends[0] != 3600e6+930 || m.Servers[0].StartedAt != 5 || m.Functions[0].Instances[0].LastUsed != 3600e6+1000 {
		t.Errorf("within a boot: %+v", m)
	}
	unknown := of()
	unknown.Clock = nil
	late := of()
	late.Clock.Offset = -1e9 // the state would be of the future
	for name, k := range map[string]*State{"another boot": {Learned: of().Learned, Clock: &Clock{8, 100}},
		"no clock": read(unknown), "of the future": late} {
		k.ConvertTimes(Clock{7, 100}, 5000)
		if m := k.Learned; m.SavedAt != 0 || !slices.Equal(m.LoadCommands, []control.Micros{5000}) ||
			len(m.Admitted)+len(m.Answers) > 0 || !slices.Equal(m.Servers[0].SlowStartSends, []control.Micros{5000}) {
			t.Errorf("%s: %+v", name, m)
		}
	}
	b, err := os.ReadFile("testdata/format1")
	if err != nil {
		t.Fatal(err)
	}
	if k, err = Decode(b); err != nil || k.Clock != nil {
		t.Fatal(err)
	}
	k.ConvertTimes(Clock{7, 100}, 5000)
	if k.Learned.SavedAt != 0 || len(k.Learned.Functions) < 10 {
		t.Errorf("an older file: %+v", k.Learned)
	}
}
