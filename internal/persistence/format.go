// Package persistence keeps what a router learned, and what it owes, where a folder outlasts it: a file of learned figures in
// two generations, and a journal of what was sent that a later life must still count.
package persistence

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"hollymast/control"
	"hollymast/internal/overload"
)

const magic = "hollymast memory\n"

// Version is the format's. Newer files are left alone; older ones are read. Format 1 held more, which is
// passed over.
const Version = 2

// Owner tells whose memory a file is.
type Owner struct {
	Router     int    `cbor:"Router"`
	Deployment uint64 `cbor:"Deployment"` // of what the ids in it hang on
}

// Kept is a file's content.
type State struct {
	Owner      Owner                 `cbor:"Owner"`
	Generation uint64                `cbor:"Generation"` // one more with each writing
	Learned    *control.LearnedState `cbor:"Module"`
	Overload   *overload.Baseline    `cbor:"Storm,omitempty"` // what is usual of calls, and the storm that was on; nil: not watched
	Clock      *Clock                `cbor:"Clock,omitempty"` // of the life that wrote it; nil: not known
}

// Errors of Decode.
var (
	ErrNewer   = errors.New("written by a newer version")
	ErrDamaged = errors.New("damaged or cut short")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Encode gives a file's bytes: magic, version, length and CRC-32C of the payload (four bytes each, big-endian), payload
// (CBOR). The checksum covers version and length too.
func Encode(k *State) ([]byte, error) {
	payload, err := cbor.Marshal(k)
	if err != nil {
		return nil, err
	}
	b := append([]byte(magic), make([]byte, 12)...)
	head := b[len(magic):]
	binary.BigEndian.PutUint32(head, Version)
	binary.BigEndian.PutUint32(head[4:], uint32(len(payload)))
	binary.BigEndian.PutUint32(head[8:], crc32.Update(crc32.Checksum(head[:8], castagnoli), castagnoli, payload))
	return append(b, payload...), nil
}

// limits of what a file may make a reader allocate: many times the largest fleet and names that a router keeps.
var decodeMode, _ = cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 10, MaxNestedLevels: 8}.DecMode()

// Decode reads a file's bytes. What it gives is whole and within its ranges; else the error is ErrNewer or ErrDamaged.
func Decode(b []byte) (*State, error) {
	if len(b) < len(magic)+12 || string(b[:len(magic)]) != magic {
		return nil, fmt.Errorf("%w: no memory of a router", ErrDamaged)
	}
	head, payload := b[len(magic):len(magic)+12], b[len(magic)+12:]
	if uint64(binary.BigEndian.Uint32(head[4:])) != uint64(len(payload)) ||
		binary.BigEndian.Uint32(head[8:]) != crc32.Update(crc32.Checksum(head[:8], castagnoli), castagnoli, payload) {
		return nil, ErrDamaged
	}
	if v := binary.BigEndian.Uint32(head); v > Version { // this head is the same in all versions
		return nil, fmt.Errorf("%w: format %d, known up to %d", ErrNewer, v, Version)
	}
	k := &State{}
	if err := decodeMode.Unmarshal(payload, k); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrDamaged, err)
	}
	if err := validate(k.Learned); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrDamaged, err)
	}
	return k, nil
}

// The ranges of values; what lies outside was written by no router.
const (
	maxTime  = control.Micros(1) << 60 // some 36 000 years
	maxCount = 1 << 20                 // copies, loads, lanes, setbacks
)

func validate(m *control.LearnedState) error {
	if m == nil {
		return errors.New("nothing in it")
	}
	in := func(ts ...control.Micros) bool {
		for _, t := range ts {
			if t < 0 || t > maxTime {
				return false
			}
		}
		return true
	}
	few := func(ns ...int) bool {
		for _, n := range ns {
			if n < 0 || n > maxCount {
				return false
			}
		}
		return true
	}
	if !in(m.SavedAt, m.StartedAt) || !in(m.QuotaDebt...) || !in(m.LoadCommands...) || !in(m.Admitted...) || !in(m.Answers...) {
		return errors.New("a figure is out of its range")
	}
	for i, s := range m.Servers {
		if i > 0 && m.Servers[i-1].Server >= s.Server {
			return errors.New("servers are not in ascending order")
		}
		if !in(s.StartedAt) || !in(s.SlowStartSends...) {
			return fmt.Errorf("server %x: a figure is out of its range", s.Server)
		}
	}
	seen := make(map[control.FunctionID]bool, len(m.Functions))
	for _, f := range m.Functions {
		if seen[f.ID] || !few(f.Lanes) {
			return fmt.Errorf("function %x: twice, or a figure out of its range", f.ID)
		}
		seen[f.ID] = true
		for _, c := range f.Instances {
			if !few(c.Replicas, c.Loading) || !in(c.LastUsed, c.LoadingSince) {
				return fmt.Errorf("function %x: a figure is out of its range", f.ID)
			}
		}
	}
	return nil
}
