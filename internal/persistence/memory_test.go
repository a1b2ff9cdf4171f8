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

var ours = Owner{Router: 1, Deployment: 7}

// items is how many servers and functions a test memory holds: few, since every cut of it is tried.
const items = 4

// kept is a memory in which every figure tells which one it is, so that a mixture of two would show.
func kept(mark int) *Kept {
	m := &control.LearnedState{SavedAt: control.Micros(mark), StartedAt: 1, QuotaDebt: []control.Micros{control.Micros(mark)}}
	for i := range items {
		m.Servers = append(m.Servers, control.LearnedServer{Server: control.ServerID(i + 1), StartedAt: control.Micros(mark)})
		m.Functions = append(m.Functions, control.LearnedFunction{ID: control.FunctionID(i), Lanes: 2, Instances: []control.LearnedInstance{{Server: 1, Replicas: 1, LastUsed: control.Micros(mark)}}})
	}
	return &Kept{Owner: ours, Module: m}
}

// whole tells the mark of a memory, and whether all of it is of that one.
func whole(k *Kept) (mark int, ok bool) {
	m := k.Module.SavedAt
	ok = len(k.Module.Servers) == items && len(k.Module.Functions) == items && k.Module.QuotaDebt[0] == m
	for i := range k.Module.Servers {
		ok = ok && k.Module.Servers[i].StartedAt == m && k.Module.Functions[i].Instances[0].LastUsed == m
	}
	return int(m), ok
}

// tornDisk breaks off in the middle of a writing, in all ways that a file system which reorders what was not synced may.
type tornDisk struct {
	files map[string][]byte
	left  func(old, new []byte) []byte // what is left of the file being replaced; nil: all goes well
}

func (d *tornDisk) Read(name string) ([]byte, error) {
	if b, ok := d.files[name]; ok {
		return b, nil
	}
	return nil, fs.ErrNotExist
}

func (d *tornDisk) Replace(name string, b []byte) error {
	if d.left == nil {
		d.files[name] = b
		return nil
	}
	if d.files[name] = d.left(d.files[name], b); d.files[name] == nil {
		delete(d.files, name)
	}
	return errors.New("power cut")
}

// Whatever is left of a writing that was cut at any point, the last whole generation is found.
func TestTornWrites(t *testing.T) {
	full, err := Encode(kept(4))
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
			d := &tornDisk{files: map[string][]byte{}}
			s, _ := Look(d, ours)
			for mark := 1; mark <= 3; mark++ {
				if err := s.Write(kept(mark)); err != nil {
					t.Fatal(err)
				}
			}
			d.left = left
			s.Write(kept(4))
			_, found := Look(d, ours)
			if found.Kept == nil {
				t.Fatalf("%s at %d: nothing found", name, cut)
			}
			if mark, ok := whole(found.Kept); !ok || mark < 3 {
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
	if err != nil || len(k.Module.Servers) != 4 || len(k.Module.Functions) < 10 || k.Generation == 0 {
		t.Errorf("got %+v, %v", k, err)
	}
}

func TestFlippedBitsAreFound(t *testing.T) {
	b, err := Encode(kept(1))
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
func sealed(version uint32, payload []byte) []byte {
	b := append([]byte(magic), make([]byte, 12)...)
	head := b[len(magic):]
	binary.BigEndian.PutUint32(head, version)
	binary.BigEndian.PutUint32(head[4:], uint32(len(payload)))
	binary.BigEndian.PutUint32(head[8:], crc32.Update(crc32.Checksum(head[:8], castagnoli), castagnoli, payload))
	return append(b, payload...)
}

// What is not ours, or not for us, is neither used nor written over.
func TestForeignFilesAreLeftAlone(t *testing.T) {
	newer := sealed(Version+1, []byte{0xa0})
	other, err := Encode(&Kept{Owner: Owner{Router: 2, Deployment: 7}, Generation: 9, Module: &control.LearnedState{}})
	if err != nil {
		t.Fatal(err)
	}
	good, err := Encode(&Kept{Owner: ours, Generation: 3, Module: &control.LearnedState{}})
	if err != nil {
		t.Fatal(err)
	}
	for name, b := range map[string][]byte{"newer": newer, "another router's": other} {
		d := &tornDisk{files: map[string][]byte{Files[0]: b, Files[1]: good}}
		if _, found := Look(d, ours); found.Kept != nil || found.Write || len(found.Told) != 1 {
			t.Errorf("%s: got %+v", name, found)
		}
	}
}

// Another deployment's memory is not used; ours takes its place.
func TestOtherDeploymentStartsEmpty(t *testing.T) {
	d := &tornDisk{files: map[string][]byte{}}
	s, _ := Look(d, Owner{Router: 1, Deployment: 8})
	s.Write(kept(1))
	s.Write(kept(2))
	s, found := Look(d, ours)
	if found.Kept != nil || !found.Write || len(found.Told) != 2 {
		t.Errorf("got %+v", found)
	}
	s.Write(kept(3))
	if _, found = Look(d, ours); found.Kept == nil || found.Kept.Module.SavedAt != 3 || found.Kept.Generation != 3 {
		t.Errorf("got %+v", found)
	}
}

func TestUnusableFolders(t *testing.T) {
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
	if err := os.Mkdir(filepath.Join(dir, "made", Files[0]), 0o700); err != nil {
		t.Fatal(err)
	}
	s, found := Look(Folder(filepath.Join(dir, "made")), ours)
	if found.Kept != nil || len(found.Told) != 1 {
		t.Errorf("got %+v", found)
	}
	if err := s.Write(kept(1)); err != nil { // the other slot
		t.Error(err)
	}
	if err := s.Write(kept(2)); err == nil {
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
		k := kept(1)
		change(k.Module)
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
			b, _ := Encode(kept(rapid.IntRange(0, 9).Draw(t, "mark")))
			payload = b[len(magic)+12:]
			for range rapid.IntRange(1, 4).Draw(t, "changes") {
				payload[rapid.IntRange(0, len(payload)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "to")
			}
		}
		if k, err := Decode(sealed(Version, payload)); err == nil && sound(k.Module) != nil {
			t.Fatalf("got %+v", k)
		}
	})
}

func FuzzDecode(f *testing.F) {
	b, err := Encode(kept(1))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b[len(magic)+12:])
	f.Fuzz(func(t *testing.T, payload []byte) {
		if k, err := Decode(sealed(Version, payload)); err == nil {
			control.New(1, 1, control.Deployment{Classes: make([]control.Class, 2)}).ApplyLearned(1<<40, k.Module)
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
	s, found := Look(Folder(dir), ours)
	mark := 0
	if found.Kept != nil {
		mark, _ = whole(found.Kept)
	}
	j, _, _, err := OpenJournal(dir, Grouped, 1<<40, 1<<30, func(error) {})
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	for {
		mark++
		r := j.Append(Entry{Kind: Execution, At: control.Micros(mark), Mark: Mark(mark)})
		if err := s.Write(kept(mark)); err != nil {
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
	told := map[Mark]bool{}
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
			told[Mark(n)] = true
			if last = max(last, n); read+1 == after { // some generations on, at any moment of the next ones
				time.Sleep(time.Duration(chance.IntN(3000)) * time.Microsecond)
				cmd.Process.Kill()
			}
		}
		cmd.Wait()
		_, found := Look(Folder(dir), ours)
		if len(found.Told) > 0 || found.Kept == nil && last > 0 {
			t.Fatalf("kill %d: %+v", i, found)
		}
		if found.Kept != nil {
			mark, ok := whole(found.Kept)
			if !ok || mark < last || mark > max(last, before)+1 {
				t.Fatalf("kill %d: got %d after %d, whole %t", i, mark, last, ok)
			}
			before = mark // perhaps one that its writer could not yet tell of
		}
	}
	j, es, _, err := OpenJournal(dir, Never, 1<<40, 1<<30, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	j.Close()
	in := map[Mark]bool{}
	for _, e := range es {
		in[e.Mark] = true
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
	if hidden, err := os.ReadDir(elsewhere); err != nil || len(hidden) > 0 || len(left) > len(Files)+1 {
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
	text, err := Encode(&Kept{Module: m})
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
