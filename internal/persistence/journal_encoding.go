package persistence

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"hollymast/control"
)

// EntryKind is what an entry records.
type EntryKind uint8

// The kinds of entries. Their numbers are stored and must not change.
const (
	EntryAttempt       EntryKind = iota + 1 // an attempt of a request with an idempotency key was sent to a server
	EntryNotRun                             // the last attempt with this key at a server is proven not to have run
	EntrySlowStartSend                      // an attempt was sent to a server in slow start
	EntryLoadCommand                        // a load command was sent to a server
	EntryAdmitted                           // requests were admitted: Key is their number, At the time of the first
)

// Entry is one entry of the journal. Key and Server are zero if the kind doesn't use them.
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

// readEntry decodes an entry; ok is false if its kind is unknown or a value is out of range.
func readEntry(b []byte) (e Entry, ok bool) {
	e = Entry{EntryKind(b[0]), control.Micros(binary.BigEndian.Uint64(b[1:])), IdempotencyKey(binary.BigEndian.Uint64(b[9:])),
		control.ServerID(binary.BigEndian.Uint64(b[17:]))}
	return e, e.Kind >= EntryAttempt && e.Kind <= EntryAdmitted && (e.Kind != EntryAdmitted || e.Key <= maxCount) && areTimesValid(e.At)
}

// A journal file consists of the magic and frames. A frame is the number of its entries (two bytes), a CRC-32C of that number and the
// entries (four bytes), both big-endian, and the entries.
const (
	journalMagic     = "hollymast journal 1\n"
	frameHeaderBytes = 6
	maxFrameEntries  = 1 << 12 // a write of 100 KB
)

// frameChecksum is the CRC-32C of the encoded number of entries and the encoded entries.
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

// ReadJournal returns the entries of a file up to its end, or up to the first corrupt frame and ErrCorrupt. No entry that was reported as
// durable comes after a corrupt frame: nothing is written to a file after a failed write, and a sync covers everything before it.
func ReadJournal(b []byte) (entries []Entry, err error) {
	frames, err := readFrames(b)
	for _, f := range frames {
		entries = append(entries, f.entries...)
	}
	return entries, err
}

// frame is a frame of a journal file, encoded and decoded.
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

// readFrame decodes the frame at the beginning of b; ok is false if it is corrupt.
func readFrame(b []byte) (f frame, ok bool) {
	if len(b) < frameHeaderBytes {
		return f, false
	}
	size := int(binary.BigEndian.Uint16(b)) * entryBytes
	if size == 0 || size > len(b)-frameHeaderBytes {
		return f, false
	}
	f.bytes = b[:frameHeaderBytes+size]
	encoded := f.bytes[frameHeaderBytes:]
	if frameChecksum(b[:2], encoded) != binary.BigEndian.Uint32(b[2:]) {
		return f, false
	}
	f.entries = make([]Entry, 0, size/entryBytes)
	for offset := 0; offset < size; offset += entryBytes {
		e, ok := readEntry(encoded[offset:])
		if !ok {
			return f, false
		}
		f.entries = append(f.entries, e)
	}
	return f, true
}
