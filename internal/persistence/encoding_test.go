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

// A file of the older format, by a build that wrote it, is read.
func TestOlderFormatIsRead(t *testing.T) {
	b, err := os.ReadFile("testdata/format1")
	if err != nil {
		t.Fatal(err)
	}
	k, err := Decode(b)
	if err != nil || len(k.Learned.Servers) != 4 || len(k.Learned.Functions) < 10 || k.Generation == 0 {
		t.Errorf("got %+v, %v", k, err)
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
			if k, err := Decode(b); !errors.Is(err, ErrCorrupt) {
				t.Fatalf("byte %d, bit %d: got %+v, %v", i, bit, k, err)
			}
			b[i] ^= 1 << bit
		}
	}
}

// withChecksum returns a file of any version and payload with a right checksum.
func withChecksum(version uint32, payload []byte) []byte {
	b := append([]byte(magic), make([]byte, 12)...)
	head := b[len(magic):]
	binary.BigEndian.PutUint32(head, version)
	binary.BigEndian.PutUint32(head[4:], uint32(len(payload)))
	binary.BigEndian.PutUint32(head[8:], crc32.Update(crc32.Checksum(head[:8], castagnoli), castagnoli, payload))
	return append(b, payload...)
}

// Values out of their ranges are refused, whatever the checksum says.
func TestValuesOutOfRange(t *testing.T) {
	for i, change := range []func(m *control.LearnedState){
		func(m *control.LearnedState) { m.SavedAt = -1 },
		func(m *control.LearnedState) { m.Servers[3].Server = 1 },
		func(m *control.LearnedState) { m.Servers[3].StartedAt = -1 },
		func(m *control.LearnedState) { m.Functions[3].ID = 0 },
		func(m *control.LearnedState) { m.Functions[3].Instances[0].Replicas = -1 },
		func(m *control.LearnedState) { m.LoadCommands = []control.Micros{-1} },
	} {
		k := testState(1)
		change(k.Learned)
		b, err := Encode(k)
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
		if k, err := Decode(withChecksum(Version, payload)); err == nil && validate(k.Learned) != nil {
			t.Fatalf("got %+v", k)
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
		if k, err := Decode(withChecksum(Version, payload)); err == nil {
			control.New(1, 1, control.Deployment{Classes: make([]control.Class, 2)}).ApplyLearned(1<<40, k.Learned)
		}
		Decode(payload)
	})
}

// BenchmarkDecode reads the state of a gateway with 80 servers and 10 000 functions.
func BenchmarkDecode(b *testing.B) {
	m := &control.LearnedState{SavedAt: 1_796_133_869_057_624}
	for i := range 80 {
		m.Servers = append(m.Servers, control.LearnedServer{Server: control.ServerID(0x7f0000019a00 + i)})
	}
	for i := range 10_000 {
		f := control.LearnedFunction{ID: control.FunctionID(uint64(i) * 0x9e3779b97f4a7c15), Lanes: 2}
		for k := range 3 {
			f.Instances = append(f.Instances, control.LearnedInstance{Server: m.Servers[(i+k)%80].Server, Replicas: 1,
				LastUsed: m.SavedAt, LoadingSince: m.SavedAt})
		}
		m.Functions = append(m.Functions, f)
	}
	text, err := Encode(&State{Learned: m})
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := Decode(text); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(text)), "bytes")
}
