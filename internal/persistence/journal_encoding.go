package persistence

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"hollymast/control"
)

// EntryKind is what an entry records.
type EntryKind uint8

// The kinds of entries. Their numbers are stored.
const (
	EntryAttempt       EntryKind = iota + 1 // an attempt of a keyed request was sent to a server
	EntryNotRun                             // the last attempt of a key at a server is proven not to have run
	EntrySlowStartSend                      // an attempt was sent to a server in slow start
	EntryLoadCommand                        // a load command was sent to a server
	EntryAdmitted                           // requests were admitted: Key is their number, At when the first of them was
)

// Entry is one entry of the journal. Key and Server are zero where its kind has none.
type Entry struct {
	Kind   EntryKind
	At     control.Micros
	Key    IdempotencyKey
	Server control.ServerID
}

// entryBytes is the size of an encoded entry: kind, time, key and server.
const entryBytes = 1 + 3*8

func appendEntry(b []byte, e Entry) []byte {
	b = append(b, byte(e.Kind))
	b = binary.BigEndian.AppendUint64(b, uint64(e.At))
	b = binary.BigEndian.AppendUint64(b, uint64(e.Key))
	return binary.BigEndian.AppendUint64(b, uint64(e.Server))
}

// readEntry decodes an entry; ok is false if no gateway writes such a one.
func readEntry(b []byte) (e Entry, ok bool) {
	e = Entry{EntryKind(b[0]), control.Micros(binary.BigEndian.Uint64(b[1:])), IdempotencyKey(binary.BigEndian.Uint64(b[9:])),
		control.ServerID(binary.BigEndian.Uint64(b[17:]))}
	return e, e.Kind >= EntryAttempt && e.Kind <= EntryAdmitted && (e.Kind != EntryAdmitted || e.Key <= maxCount) && timesValid(e.At)
}

// A journal file is the magic, then frames: number of entries (two bytes) and CRC-32C of that and the entries (four bytes), both
// big-endian, then the entries.
const (
	journalMagic     = "hollymast journal 1\n"
	frameHeaderBytes = 6
	maxFrameEntries  = 1 << 12 // a write of 100 KB
)

// frameChecksum is the CRC-32C of a frame's number of entries and its entries.
func frameChecksum(number, entries []byte) uint32 {
	return crc32.Update(crc32.Checksum(number, castagnoli), castagnoli, entries)
}

func appendFrame(b []byte, entries []Entry) []byte {
	start := len(b)
	b = append(binary.BigEndian.AppendUint16(b, uint16(len(entries))), 0, 0, 0, 0)
	for _, e := range entries {
		b = appendEntry(b, e)
	}
	binary.BigEndian.PutUint32(b[start+2:], frameChecksum(b[start:start+2], b[start+frameHeaderBytes:]))
	return b
}

// ReadJournal returns a file's entries up to its end or to the first damage, with ErrDamaged. No entry that was reported as durable
// follows damage: a file is not written to after a write that failed, and a sync covers all that precedes it.
func ReadJournal(b []byte) (entries []Entry, err error) {
	frames, err := readFrames(b)
	for _, f := range frames {
		entries = append(entries, f.entries...)
	}
	return entries, err
}

// frame is a frame of a journal file, as stored and decoded.
type frame struct {
	bytes   []byte
	entries []Entry
}

func readFrames(b []byte) (frames []frame, err error) {
	if len(b) < len(journalMagic) || string(b[:len(journalMagic)]) != journalMagic {
		return nil, fmt.Errorf("%w: not a journal file", ErrCorrupt)
	}
	for b = b[len(journalMagic):]; len(b) > 0; {
		f, ok := readFrame(b)
		if !ok {
			return frames, ErrCorrupt
		}
		frames = append(frames, f)
		b = b[len(f.bytes):]
	}
	return frames, nil
}

// readFrame decodes the frame at the beginning of b; ok is false if it is damaged.
func readFrame(b []byte) (f frame, ok bool) {
	if len(b) < frameHeaderBytes {
		return f, false
	}
	n := int(binary.BigEndian.Uint16(b)) * entryBytes
	if n == 0 || n > len(b)-frameHeaderBytes {
		return f, false
	}
	f.bytes = b[:frameHeaderBytes+n]
	encoded := f.bytes[frameHeaderBytes:]
	if frameChecksum(b[:2], encoded) != binary.BigEndian.Uint32(b[2:]) {
		return f, false
	}
	f.entries = make([]Entry, 0, n/entryBytes)
	for at := 0; at < n; at += entryBytes {
		e, ok := readEntry(encoded[at:])
		if !ok {
			return f, false
		}
		f.entries = append(f.entries, e)
	}
	return f, true
}
