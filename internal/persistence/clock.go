package persistence

import (
	"os"
	"slices"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"hollymast/control"
)

// Clock ties the time of a router's life to the machine's clock that counts from its boot, whatever is done to the wall clock. Two
// lives of one boot measure spans between them by it exactly. Across a boot, or where a clock is not known, only bounds remain.
type Clock struct {
	BootID uint64         `cbor:"Boot"`   // names the boot; 0: not known
	Offset control.Micros `cbor:"Offset"` // how far the life's time is ahead of the clock from boot
}

// ReadClock reads the machine's, at a time of this life.
func ReadClock(now control.Micros) Clock {
	boot, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil || len(boot) == 0 {
		return Clock{}
	}
	var up unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &up) != nil {
		return Clock{}
	}
	return Clock{xxhash.Sum64(boot), now - control.Micros(up.Nano()/1000)}
}

// ahead tells how far this life's time is ahead of that of an earlier one; sure is false if that can't be told.
func (c Clock) aheadOf(earlier Clock) (by control.Micros, sure bool) {
	return c.Offset - earlier.Offset, c.BootID != 0 && c.BootID == earlier.BootID
}

// note gives entries that tell a clock, at the beginning of a file: jobs taken, none of them, which mean nothing to a reader that
// does not know of clocks.
func (c Clock) entries() []Entry {
	return []Entry{{Kind: EntryAdmitted, Server: control.ServerID(c.BootID)}, {Kind: EntryAdmitted, Server: control.ServerID(c.Offset)}}
}

// noted reads a clock.
func readClockEntries(es []Entry) (c Clock, is bool) {
	if len(es) != 2 || slices.ContainsFunc(es, func(e Entry) bool { return e.Kind != EntryAdmitted || e.Key != 0 || e.At != 0 }) {
		return c, false
	}
	return Clock{uint64(es[0].Server), control.Micros(es[1].Server)}, true
}

// Past is what a journal tells of earlier lives, in the time of this one.
type Recovered struct {
	Entries   []Entry
	Uncertain int // of so many first ones it is known only that they were made, at the latest now
	Now       control.Micros
}

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
