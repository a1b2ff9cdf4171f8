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
