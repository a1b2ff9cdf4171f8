package persistence

import (
	"os"
	"slices"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"hollymast/control"
)

// Clock relates an incarnation's time to the machine's clock that counts from boot, which steps of the wall clock don't reach. Two
// incarnations of one boot can measure exactly how much time lies between them. Across a boot, or where a clock is unknown, only
// bounds remain.
type Clock struct {
	BootID uint64         `cbor:"Boot"`   // hash of the kernel's boot id; 0: unknown
	Offset control.Micros `cbor:"Offset"` // how far the incarnation's time is ahead of the clock that counts from boot
}

// bootIDFile names the boot: the kernel writes a new random id there with each.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// ReadClock reads the machine's clock at a time of this incarnation. The zero Clock is returned where there is none.
func ReadClock(now control.Micros) Clock {
	bootID, err := os.ReadFile(bootIDFile)
	if err != nil || len(bootID) == 0 {
		return Clock{}
	}
	var sinceBoot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &sinceBoot) != nil {
		return Clock{}
	}
	return Clock{xxhash.Sum64(bootID), now - control.Micros(sinceBoot.Nano()/1000)}
}

// aheadOf returns how far this incarnation's time is ahead of an earlier one's; known is false where that can't be told.
func (c Clock) aheadOf(earlier Clock) (offset control.Micros, known bool) {
	return c.Offset - earlier.Offset, c.BootID != 0 && c.BootID == earlier.BootID
}

// entries encodes a clock as the first frame of a journal file: two entries of zero admitted requests. A reader that doesn't know of
// clocks takes nothing from them.
func (c Clock) entries() []Entry {
	return []Entry{{Kind: EntryAdmitted, Server: control.ServerID(c.BootID)}, {Kind: EntryAdmitted, Server: control.ServerID(c.Offset)}}
}

// readClockEntries decodes a clock; ok is false where the entries are none.
func readClockEntries(entries []Entry) (c Clock, ok bool) {
	if len(entries) != 2 || slices.ContainsFunc(entries, func(e Entry) bool { return e.Kind != EntryAdmitted || e.Key != 0 || e.At != 0 }) {
		return c, false
	}
	return Clock{uint64(entries[0].Server), control.Micros(entries[1].Server)}, true
}
