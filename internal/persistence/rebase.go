package persistence

import (
	"slices"

	"hollymast/control"
)

// ConvertTimes converts a state's times to those of this incarnation, whose time is now. If the two clocks can't be compared, times that
// restrict the gateway are set to now, and those that permit something or are useful only while recent are dropped. The start times of
// servers are unchanged, since they come from other clocks.
func (s *State) ConvertTimes(clock Clock, now control.Micros) {
	earlier := Clock{}
	if s.Clock != nil {
		earlier = *s.Clock
	}
	offset, known := clock.offsetFrom(earlier)
	if !known || s.Learned.SavedAt+offset > now {
		resetTimes(s.Learned, now)
		return
	}
	ShiftTimes(s.Learned, offset)
}

// resetTimes sets the times that restrict the gateway to now and drops the others.
func resetTimes(learned *control.LearnedState, now control.Micros) {
	learned.SavedAt, learned.StartedAt, learned.Admitted, learned.Answers = 0, 0, nil, nil
	learned.LoadCommands = slices.Repeat([]control.Micros{now}, len(learned.LoadCommands))
	for i := range learned.Servers {
		learned.Servers[i].SlowStartSends = slices.Repeat([]control.Micros{now}, len(learned.Servers[i].SlowStartSends))
	}
}

// ShiftTimes adds an offset to all times of a learned state except the start times of servers, which come from other clocks. A time that
// would become negative becomes 0.
func ShiftTimes(learned *control.LearnedState, offset control.Micros) {
	shift := func(t *control.Micros) { *t = max(0, *t+offset) }
	shiftAll := func(times []control.Micros) {
		for i := range times {
			shift(&times[i])
		}
	}
	shift(&learned.SavedAt)
	shift(&learned.StartedAt)
	for _, times := range [][]control.Micros{learned.QuotaDebt, learned.LoadCommands, learned.Admitted, learned.Answers} {
		shiftAll(times)
	}
	for i := range learned.Servers {
		shiftAll(learned.Servers[i].SlowStartSends)
	}
	for _, f := range learned.Functions {
		for i := range f.Instances {
			shift(&f.Instances[i].LastUsed)
			shift(&f.Instances[i].LoadingSince)
		}
	}
}
