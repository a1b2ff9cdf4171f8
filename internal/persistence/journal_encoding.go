package persistence

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"hollymast/control"
)

// The form of a journal file: its entries and frames.

// Kind is what an entry of the journal tells.
type EntryKind uint8

// The kinds. Execution: a marked job was sent to a server. Unrun: it is proven that it did not run there. ToCold: a job
// was sent to a server that is cold. Ordered: an order to load was given.
// Taken: some jobs were taken, their number in Mark, the first of them then.
const (
	EntryAttempt EntryKind = iota + 1
	EntryNotRun
	EntrySlowStartSend
	EntryLoadCommand
	EntryAdmitted
)

// Entry is one line of the journal.
type Entry struct {
	Kind   EntryKind
	At     control.Micros
	Key    IdempotencyKey
	Server control.ServerID
}

const entryBytes = 1 + 3*8

func appendEntry(b []byte, e Entry) []byte {
	b = append(b, byte(e.Kind))
	b = binary.BigEndian.AppendUint64(b, uint64(e.At))
	b = binary.BigEndian.AppendUint64(b, uint64(e.Key))
	return binary.BigEndian.AppendUint64(b, uint64(e.Server))
}

func readEntry(b []byte) (Entry, bool) {
	e := Entry{EntryKind(b[0]), control.Micros(binary.BigEndian.Uint64(b[1:])), IdempotencyKey(binary.BigEndian.Uint64(b[9:])),
		control.ServerID(binary.BigEndian.Uint64(b[17:]))}
	return e, e.Kind >= EntryAttempt && e.Kind <= EntryAdmitted && (e.Kind != EntryAdmitted || e.Key <= maxCount) && e.At >= 0 && e.At <= maxTime
}

// A journal file is the magic, then frames: number of entries (two bytes) and CRC-32C of that and the entries (four),
// both big-endian, then the entries.
const (
	journalMagic     = "hollymast journal 1\n"
	frameHeaderBytes = 6
	maxFrameEntries  = 1 << 12
)

func appendFrame(b []byte, es []Entry) []byte {
	at := len(b)
	b = append(binary.BigEndian.AppendUint16(b, uint16(len(es))), 0, 0, 0, 0)
	for _, e := range es {
		b = appendEntry(b, e)
	}
	sum := crc32.Update(crc32.Checksum(b[at:at+2], castagnoli), castagnoli, b[at+frameHeaderBytes:])
	binary.BigEndian.PutUint32(b[at+2:], sum)
	return b
}

// ReadJournal gives a file's entries up to its end or its first damage, which the error tells. Nothing that is owed stands after a
// damage: a file is not written on after a writing that failed, and a sync covers all before it.
func ReadJournal(b []byte) (es []Entry, err error) {
	frames, err := readFrames(b)
	for _, f := range frames {
		es = append(es, f.entries...)
	}
	return es, err
}

type frame struct {
	bytes   []byte
	entries []Entry
}

func readFrames(b []byte) (frames []frame, err error) {
	if len(b) < len(journalMagic) || string(b[:len(journalMagic)]) != journalMagic {
		return nil, fmt.Errorf("%w: no journal", ErrDamaged)
	}
	for b = b[len(journalMagic):]; len(b) > 0; {
		if len(b) < frameHeaderBytes {
			return frames, ErrDamaged
		}
		n := int(binary.BigEndian.Uint16(b)) * entryBytes
		if n == 0 || n > len(b)-frameHeaderBytes ||
			crc32.Update(crc32.Checksum(b[:2], castagnoli), castagnoli, b[frameHeaderBytes:frameHeaderBytes+n]) != binary.BigEndian.Uint32(b[2:]) {
			return frames, ErrDamaged
		}
		es := make([]Entry, 0, n/entryBytes)
		for at := frameHeaderBytes; at < frameHeaderBytes+n; at += entryBytes {
			e, ok := readEntry(b[at:])
			if !ok {
				return frames, ErrDamaged
			}
			es = append(es, e)
		}
		frames = append(frames, frame{b[:frameHeaderBytes+n], es})
		b = b[frameHeaderBytes+n:]
	}
	return frames, nil
}
