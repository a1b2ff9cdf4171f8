package persistence

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"os"
	"testing"

	"pgregory.net/rapid"

	"hollymast/control"
)

// A file of the older format, written by an earlier build, can be read.
func TestOlderFormatIsRead(t *testing.T) {
	b, err := os.ReadFile("testdata/format1")
	if err != nil {
		t.Fatal(err)
	}
	state, err := Decode(b)
	if err != nil || len(state.Learned.Servers) != 4 || len(state.Learned.Functions) < 10 || state.Generation == 0 {
		t.Errorf("got %+v, %v", state, err)
	}
}

func TestFlippedBitsAreFound(t *testing.T) {
	b, err := Encode(testState(1))
	if err != nil {
		t.Fatal(err)
	}
	for i := range b {
		for bit := range 8 {
			b[i] ^= 1 << bit
			if state, err := Decode(b); !errors.Is(err, ErrCorrupt) {
				t.Fatalf("byte %d, bit %d: got %+v, %v", i, bit, state, err)
			}
			b[i] ^= 1 << bit
		}
	}
}

// withChecksum returns a file of the given version and payload with a correct checksum.
func withChecksum(version uint32, payload []byte) []byte {
	b := append([]byte(magic), make([]byte, 12)...)
	header := b[len(magic):]
	binary.BigEndian.PutUint32(header, version)
	binary.BigEndian.PutUint32(header[4:], uint32(len(payload)))
	binary.BigEndian.PutUint32(header[8:], crc32.Update(crc32.Checksum(header[:8], castagnoli), castagnoli, payload))
	return append(b, payload...)
}

// Values out of range are rejected even if the checksum is correct.
func TestValuesOutOfRange(t *testing.T) {
	for i, change := range []func(m *control.LearnedState){
		func(m *control.LearnedState) { m.SavedAt = -1 },
		func(m *control.LearnedState) { m.Servers[3].Server = 1 },
		func(m *control.LearnedState) { m.Servers[3].StartedAt = -1 },
		func(m *control.LearnedState) { m.Functions[3].ID = 0 },
		func(m *control.LearnedState) { m.Functions[3].Instances[0].Replicas = -1 },
		func(m *control.LearnedState) { m.LoadCommands = []control.Micros{-1} },
	} {
		state := testState(1)
		change(state.Learned)
		b, err := Encode(state)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(b); !errors.Is(err, ErrCorrupt) {
			t.Errorf("change %d: got %v", i, err)
		}
	}
}

func TestArbitraryBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		payload := rapid.SliceOf(rapid.Byte()).Draw(t, "payload")
		if rapid.Bool().Draw(t, "changed from a valid one") {
			b, _ := Encode(testState(rapid.IntRange(0, 9).Draw(t, "version")))
			payload = b[len(magic)+12:]
			for range rapid.IntRange(1, 4).Draw(t, "changes") {
				payload[rapid.IntRange(0, len(payload)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "to")
			}
		}
		if state, err := Decode(withChecksum(Version, payload)); err == nil && validate(state.Learned) != nil {
			t.Fatalf("got %+v", state)
		}
	})
}

func FuzzDecode(f *testing.F) {
	b, err := Encode(testState(1))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b[len(magic)+12:])
	f.Fuzz(func(t *testing.T, payload []byte) {
		if state, err := Decode(withChecksum(Version, payload)); err == nil {
			control.New(1, 1, control.Deployment{Classes: make([]control.Class, 2)}).ApplyLearned(1<<40, state.Learned)
		}
		Decode(payload)
	})
}

// BenchmarkDecode decodes the state of a gateway with 80 servers and 10 000 functions.
func BenchmarkDecode(b *testing.B) {
	learned := &control.LearnedState{SavedAt: 1_796_133_869_057_624}
	for i := range 80 {
		learned.Servers = append(learned.Servers, control.LearnedServer{Server: control.ServerID(0x7f0000019a00 + i)})
	}
	for i := range 10_000 {
		f := control.LearnedFunction{ID: control.FunctionID(uint64(i) * 0x9e3779b97f4a7c15), Lanes: 2}
		for k := range 3 {
			f.Instances = append(f.Instances, control.LearnedInstance{Server: learned.Servers[(i+k)%80].Server, Replicas: 1,
				LastUsed: learned.SavedAt, LoadingSince: learned.SavedAt})
		}
		learned.Functions = append(learned.Functions, f)
	}
	encoded, err := Encode(&State{Learned: learned})
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := Decode(encoded); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(encoded)), "bytes")
}
