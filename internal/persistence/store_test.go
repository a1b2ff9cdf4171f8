package persistence

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hollymast/control"
)

var testOwner = Owner{Router: 1, Deployment: 7}

// items is how many servers and functions a test memory holds: few, since every cut of it is tried.
const testItems = 4

// kept is a memory in which every figure tells which one it is, so that a mixture of two would show.
func testState(mark int) *State {
	m := &control.LearnedState{SavedAt: control.Micros(mark), StartedAt: 1, QuotaDebt: []control.Micros{control.Micros(mark)}}
	for i := range testItems {
		m.Servers = append(m.Servers, control.LearnedServer{Server: control.ServerID(i + 1), StartedAt: control.Micros(mark)})
		m.Functions = append(m.Functions, control.LearnedFunction{ID: control.FunctionID(i), Lanes: 2, Instances: []control.LearnedInstance{{Server: 1, Replicas: 1, LastUsed: control.Micros(mark)}}})
	}
	return &State{Owner: testOwner, Learned: m}
}

// whole tells the mark of a memory, and whether all of it is of that one.
func stateVersion(k *State) (mark int, ok bool) {
	m := k.Learned.SavedAt
	ok = len(k.Learned.Servers) == testItems && len(k.Learned.Functions) == testItems && k.Learned.QuotaDebt[0] == m
	for i := range k.Learned.Servers {
		ok = ok && k.Learned.Servers[i].StartedAt == m && k.Learned.Functions[i].Instances[0].LastUsed == m
	}
	return int(m), ok
}

// tornDisk breaks off in the middle of a writing, in all ways that a file system which reorders what was not synced may.
type tornStore struct {
	files   map[string][]byte
	remains func(old, new []byte) []byte // what is left of the file being replaced; nil: all goes well
}

func (d *tornStore) Read(name string) ([]byte, error) {
	if b, ok := d.files[name]; ok {
		return b, nil
	}
	return nil, fs.ErrNotExist
}

func (d *tornStore) Replace(name string, b []byte) error {
	if d.remains == nil {
		d.files[name] = b
		return nil
	}
	if d.files[name] = d.remains(d.files[name], b); d.files[name] == nil {
		delete(d.files, name)
	}
	return errors.New("power cut")
}

// Whatever is left of a writing that was cut at any point, the last whole generation is found.
func TestTornWrites(t *testing.T) {
	full, err := Encode(testState(4))
	if err != nil {
		t.Fatal(err)
	}
	for cut := range len(full) + 1 {
		for name, left := range map[string]func(old, new []byte) []byte{
			"old":    func(old, _ []byte) []byte { return old },
			"gone":   func(_, _ []byte) []byte { return nil },
			"prefix": func(_, new []byte) []byte { return new[:min(cut, len(new))] },
			"zeros after": func(_, new []byte) []byte {
				return append(new[:min(cut, len(new)):min(cut, len(new))], make([]byte, max(0, len(new)-cut))...)
			},
			"zeros before": func(_, new []byte) []byte { c := min(cut, len(new)); return append(make([]byte, c), new[c:]...) },
			"new, then old": func(old, new []byte) []byte {
				return append(new[:min(cut, len(new)):min(cut, len(new))], old[min(cut, len(old)):]...)
			},
			"old, then new": func(old, new []byte) []byte {
				return append(old[:min(cut, len(old)):min(cut, len(old))], new[min(cut, len(new)):]...)
			},
			"more than whole": func(_, new []byte) []byte { return append(new[:len(new):len(new)], make([]byte, 1+cut)...) },
		} {
			d := &tornStore{files: map[string][]byte{}}
			s, _ := OpenStore(d, testOwner)
			for mark := 1; mark <= 3; mark++ {
				if err := s.Write(testState(mark)); err != nil {
					t.Fatal(err)
				}
			}
			d.remains = left
			s.Write(testState(4))
			_, found := OpenStore(d, testOwner)
			if found.State == nil {
				t.Fatalf("%s at %d: nothing found", name, cut)
			}
			if mark, ok := stateVersion(found.State); !ok || mark < 3 {
				t.Fatalf("%s at %d: got %d, whole %t", name, cut, mark, ok)
			}
		}
	}
}

// A file of the format before, by the build that wrote it, is read.
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
			if k, err := Decode(b); !errors.Is(err, ErrDamaged) {
				t.Fatalf("byte %d, bit %d: got %+v, %v", i, bit, k, err)
			}
			b[i] ^= 1 << bit
		}
	}
}

// sealed gives a file of any version and payload with a true checksum.
func withChecksum(version uint32, payload []byte) []byte {
	b := append([]byte(magic), make([]byte, 12)...)
	head := b[len(magic):]
	binary.BigEndian.PutUint32(head, version)
	binary.BigEndian.PutUint32(head[4:], uint32(len(payload)))
	binary.BigEndian.PutUint32(head[8:], crc32.Update(crc32.Checksum(head[:8], castagnoli), castagnoli, payload))
	return append(b, payload...)
}

// What is not ours, or not for us, is neither used nor written over.
func TestForeignFilesAreLeftAlone(t *testing.T) {
	newer := withChecksum(Version+1, []byte{0xa0})
	other, err := Encode(&State{Owner: Owner{Router: 2, Deployment: 7}, Generation: 9, Learned: &control.LearnedState{}})
	if err != nil {
		t.Fatal(err)
	}
	good, err := Encode(&State{Owner: testOwner, Generation: 3, Learned: &control.LearnedState{}})
	if err != nil {
		t.Fatal(err)
	}
	for name, b := range map[string][]byte{"newer": newer, "another router's": other} {
		d := &tornStore{files: map[string][]byte{GenerationFiles[0]: b, GenerationFiles[1]: good}}
		if _, found := OpenStore(d, testOwner); found.State != nil || found.Writable || len(found.Warnings) != 1 {
			t.Errorf("%s: got %+v", name, found)
		}
	}
}

// Another deployment's memory is not used; ours takes its place.
func TestOtherDeploymentStartsEmpty(t *testing.T) {
	d := &tornStore{files: map[string][]byte{}}
	s, _ := OpenStore(d, Owner{Router: 1, Deployment: 8})
	s.Write(testState(1))
	s.Write(testState(2))
	s, found := OpenStore(d, testOwner)
	if found.State != nil || !found.Writable || len(found.Warnings) != 2 {
		t.Errorf("got %+v", found)
	}
	s.Write(testState(3))
	if _, found = OpenStore(d, testOwner); found.State == nil || found.State.Learned.SavedAt != 3 || found.State.Generation != 3 {
		t.Errorf("got %+v", found)
	}
}

func TestUnusableDirectories(t *testing.T) {
	dir := t.TempDir()
	unlock, err := Lock(filepath.Join(dir, "made"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Lock(filepath.Join(dir, "made")); err == nil {
		t.Error("a second router got the folder")
	}
	unlock()
	if unlock, err = Lock(filepath.Join(dir, "made")); err != nil {
		t.Error(err)
	} else {
		unlock()
	}
	file := filepath.Join(dir, "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Lock(file); err == nil {
		t.Error("a file was taken for a folder")
	}
	if err := os.Mkdir(filepath.Join(dir, "made", GenerationFiles[0]), 0o700); err != nil {
		t.Fatal(err)
	}
	s, found := OpenStore(Dir(filepath.Join(dir, "made")), testOwner)
	if found.State != nil || len(found.Warnings) != 1 {
		t.Errorf("got %+v", found)
	}
	if err := s.Write(testState(1)); err != nil { // the other slot
		t.Error(err)
	}
	if err := s.Write(testState(2)); err == nil {
		t.Error("a folder was replaced by a file")
	}
}

// Values out of their ranges are no memory, whatever the checksum says.
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
		if _, err := Decode(b); !errors.Is(err, ErrDamaged) {
			t.Errorf("change %d: got %v", i, err)
		}
	}
}

func TestArbitraryBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		payload := rapid.SliceOf(rapid.Byte()).Draw(t, "payload")
		if rapid.Bool().Draw(t, "part of a true one") {
			b, _ := Encode(testState(rapid.IntRange(0, 9).Draw(t, "mark")))
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

// A process that writes without end, for TestKilledWriters.
func TestMain(m *testing.M) {
	dir := os.Getenv("HOLLYMAST_TEST_WRITE")
	if dir == "" {
		os.Exit(m.Run())
	}
	if _, err := Lock(dir); err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	s, found := OpenStore(Dir(dir), testOwner)
	mark := 0
	if found.State != nil {
		mark, _ = stateVersion(found.State)
	}
	j, _, _, err := OpenJournal(dir, SyncGrouped, 1<<40, 1<<30, func(error) {})
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	for {
		mark++
		r := j.Append(Entry{Kind: EntryAttempt, At: control.Micros(mark), Key: IdempotencyKey(mark)})
		if err := s.Write(testState(mark)); err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		if <-r.Done(); r.Err() != nil {
			fmt.Println(r.Err())
			os.Exit(1)
		}
		fmt.Println(mark)
	}
}

// Writers killed at random moments leave a whole generation, no older than the last that they told of, and a journal with
// all that they called kept.
func TestKilledWriters(t *testing.T) {
	kills := 50
	if n, err := strconv.Atoi(os.Getenv("HOLLYMAST_KILLS")); err == nil {
		kills = n
	}
	dir := t.TempDir()
	chance := rand.New(rand.NewPCG(1, 2))
	elsewhere := t.TempDir()
	last, before := 0, 0
	told := map[IdempotencyKey]bool{}
	for i := range kills {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "HOLLYMAST_TEST_WRITE="+dir, "TMPDIR="+elsewhere)
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		lines := bufio.NewScanner(out)
		for read, after := 0, 1+chance.IntN(4); lines.Scan(); read++ {
			n, err := strconv.Atoi(strings.TrimSpace(lines.Text()))
			if err != nil {
				t.Fatalf("kill %d: the writer says %q", i, lines.Text())
			}
			told[IdempotencyKey(n)] = true
			if last = max(last, n); read+1 == after { // some generations on, at any moment of the next ones
				time.Sleep(time.Duration(chance.IntN(3000)) * time.Microsecond)
				cmd.Process.Kill()
			}
		}
		cmd.Wait()
		_, found := OpenStore(Dir(dir), testOwner)
		if len(found.Warnings) > 0 || found.State == nil && last > 0 {
			t.Fatalf("kill %d: %+v", i, found)
		}
		if found.State != nil {
			mark, ok := stateVersion(found.State)
			if !ok || mark < last || mark > max(last, before)+1 {
				t.Fatalf("kill %d: got %d after %d, whole %t", i, mark, last, ok)
			}
			before = mark // perhaps one that its writer could not yet tell of
		}
	}
	j, es, _, err := OpenJournal(dir, SyncNever, 1<<40, 1<<30, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	j.Close()
	in := map[IdempotencyKey]bool{}
	for _, e := range es {
		in[e.Key] = true
	}
	for mark := range told {
		if !in[mark] {
			t.Fatalf("the journal lacks %d of %d", mark, last)
		}
	}
	left, err := filepath.Glob(filepath.Join(dir, "*memory*"))
	if err != nil {
		t.Fatal(err)
	}
	if hidden, err := os.ReadDir(elsewhere); err != nil || len(hidden) > 0 || len(left) > len(GenerationFiles)+1 {
		t.Errorf("%d kills left %d files elsewhere, and %q, %v", kills, len(hidden), left, err)
	}
	if last < kills {
		t.Errorf("only %d generations in %d lives", last, kills)
	}
}

// BenchmarkDecode reads what a router with 80 servers and 10 000 functions wrote.
func BenchmarkDecode(b *testing.B) {
	m := &control.LearnedState{SavedAt: 1_796_133_869_057_624}
	for i := range 80 {
		m.Servers = append(m.Servers, control.LearnedServer{Server: control.ServerID(0x7f0000019a00 + i)})
	}
	for i := range 10_000 {
		f := control.LearnedFunction{ID: control.FunctionID(uint64(i) * 0x9e3779b97f4a7c15), Lanes: 2}
		for k := range 3 {
			f.Instances = append(f.Instances, control.LearnedInstance{Server: m.Servers[(i+k)%80].Server, Replicas: 1, LastUsed: m.SavedAt, LoadingSince: m.SavedAt})
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
