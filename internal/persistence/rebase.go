package persistence

import (
	"slices"

	"hollymast/control"
)

// ConvertTimes converts a state's times to those of this incarnation, whose time is now. Where the two clocks can't be compared, what limits
// us counts as of now, and what permits something, or is worth something only while it is fresh, is dropped. When a server started is
// told by other clocks and stays.
func (s *State) ConvertTimes(clock Clock, now control.Micros) {
	earlier := Clock{}
	if s.Clock != nil {
		earlier = *s.Clock
	}
	offset, known := clock.aheadOf(earlier)
	if !known || s.Learned.SavedAt+offset > now {
		forgetTimes(s.Learned, now)
		return
	}
	ShiftTimes(s.Learned, offset)
}

// forgetTimes has a state's limits count as of now and drops what depends on a known time.
func forgetTimes(m *control.LearnedState, now control.Micros) {
	m.SavedAt, m.StartedAt, m.Admitted, m.Answers = 0, 0, nil, nil
	m.LoadCommands = slices.Repeat([]control.Micros{now}, len(m.LoadCommands))
	for i := range m.Servers {
		m.Servers[i].SlowStartSends = slices.Repeat([]control.Micros{now}, len(m.Servers[i].SlowStartSends))
	}
}

// ShiftTimes adds an offset, in microseconds, to each time of a learned state but those at which servers started, which other
// clocks tell; one from before the clock's zero becomes 0.
func ShiftTimes(m *control.LearnedState, offset control.Micros) {
	shift := func(t *control.Micros) { *t = max(0, *t+offset) }
	shiftAll := func(times []control.Micros) {
		for i := range times {
			shift(&times[i])
		}
	}
	shift(&m.SavedAt)
	shift(&m.StartedAt)
	for _, times := range [][]control.Micros{m.QuotaDebt, m.LoadCommands, m.Admitted, m.Answers} {
		shiftAll(times)
	}
	for i := range m.Servers {
		shiftAll(m.Servers[i].SlowStartSends)
	}
	for _, f := range m.Functions {
		for i := range f.Instances {
			shift(&f.Instances[i].LastUsed)
			shift(&f.Instances[i].LoadingSince)
		}
	}
}
