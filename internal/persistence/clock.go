package persistence

import (
	"os"
	"slices"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"hollymast/control"
)

// Clock relates an incarnation's time to CLOCK_BOOTTIME, which is not affected by steps of the wall clock. The time between two
// incarnations within one boot is known exactly. If the machine was rebooted in between, or a clock is unknown, only bounds are known.
type Clock struct {
	BootID uint64         `cbor:"Boot"`   // hash of the kernel's boot id; 0: unknown
	Offset control.Micros `cbor:"Offset"` // the incarnation's time minus CLOCK_BOOTTIME
}

// bootIDFile holds a random id that the kernel generates at each boot.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// ReadClock returns the Clock of an incarnation whose current time is now, or the zero Clock if the boot id or the boot-time clock can't
// be read.
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

// offsetFrom returns what must be added to times of an earlier incarnation to convert them to this one's. It is known only if both
// clocks are from the same boot.
func (c Clock) offsetFrom(earlier Clock) (offset control.Micros, known bool) {
	return c.Offset - earlier.Offset, c.BootID != 0 && c.BootID == earlier.BootID
}

// asEntries encodes a clock as the entries of a journal file's first frame: two entries of zero admitted requests, which have no effect
// on a reader of a version without clocks.
func (c Clock) asEntries() []Entry {
	return []Entry{{Kind: EntryAdmitted, Server: control.ServerID(c.BootID)}, {Kind: EntryAdmitted, Server: control.ServerID(c.Offset)}}
}

// readClockEntries decodes a clock; ok is false if the entries don't encode one.
func readClockEntries(entries []Entry) (c Clock, ok bool) {
	if len(entries) != 2 || slices.ContainsFunc(entries, func(e Entry) bool { return e.Kind != EntryAdmitted || e.Key != 0 || e.At != 0 }) {
		return c, false
	}
	return Clock{uint64(entries[0].Server), control.Micros(entries[1].Server)}, true
}
