package persistence

import (
	"slices"

	"hollymast/control"
)

// Meets brings a memory into the time of this life, now. Where only bounds remain, what limits us counts as of just now, and what
// allows anything, or is only worth something while it is fresh, is dropped. Starts of servers are told by other clocks.
func (k *State) Rebase(clock Clock, now control.Micros) {
	earlier := Clock{}
	if k.Clock != nil {
		earlier = *k.Clock
	}
	m := k.Learned
	by, sure := clock.aheadOf(earlier)
	if !sure || m.SavedAt+by > now {
		m.SavedAt, m.StartedAt, m.Admitted, m.Answers = 0, 0, nil, nil
		m.LoadCommands = slices.Repeat([]control.Micros{now}, len(m.LoadCommands))
		for i := range m.Servers {
			m.Servers[i].SlowStartSends = slices.Repeat([]control.Micros{now}, len(m.Servers[i].SlowStartSends))
		}
		return
	}
	move := func(ts ...*control.Micros) {
		for _, t := range ts {
			*t = max(0, *t+by)
		}
	}
	all := func(ts []control.Micros) {
		for i := range ts {
			move(&ts[i])
		}
	}
	move(&m.SavedAt, &m.StartedAt)
	for _, ts := range [][]control.Micros{m.QuotaDebt, m.LoadCommands, m.Admitted, m.Answers} {
		all(ts)
	}
	for i := range m.Servers {
		all(m.Servers[i].SlowStartSends)
	}
	for _, f := range m.Functions {
		for i := range f.Instances {
			move(&f.Instances[i].LastUsed, &f.Instances[i].LoadingSince)
		}
	}
}
