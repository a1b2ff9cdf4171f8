package record

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"hollymast/control"
	"hollymast/internal/core"
)

func state() (*core.Snapshot, error) {
	return &core.Snapshot{Balancer: &control.Snapshot{}}, nil
}

// A disk that is too slow stops no turn: turns are dropped, and the next segment says how many.
func TestSlowDiskLeavesAGapThatIsTold(t *testing.T) {
	w := &Writer{queue: queue{wake: make(chan struct{}, 1)}, state: state, log: zerolog.Nop()} // nobody writes
	w.BeginSegment(1)
	for i := range control.Micros(depth + 9) {
		w.end(Step{Clock: i})
	}
	if w.LostSteps() != 10 { // the beginning took a place too
		t.Errorf("%d turns lost", w.LostSteps())
	}
	w.queue.take(nil)
	w.end(Step{Clock: 99}) // there is room again
	items, _ := w.queue.take(nil)
	if len(items) != 1 || items[0].header == nil || items[0].header.LostSteps != 11 || items[0].header.FirstStep != depth+10 || items[0].header.Clock != 99 {
		t.Errorf("got %+v", items)
	}
	w.end(Step{Clock: 100})
	if items, _ = w.queue.take(nil); len(items) != 1 || items[0].number != depth+10 {
		t.Errorf("got %+v", items)
	}
}

// A folder that can't be written to costs the recording, not the router; once it can, recording goes on.
func TestFailingDisk(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "r")
	w, err := Open(dir, Limits{SegmentBytes: 1 << 20, SegmentAge: time.Hour, TotalBytes: 1 << 30}, Header{Incarnation: "a"}, state, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(dir); err != nil {
		t.Fatal(err)
	}
	w.BeginSegment(1)
	for w.LostSteps() == 0 {
		w.end(Step{Clock: 2})
		time.Sleep(time.Millisecond)
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); w.WrittenBytes() == 0; time.Sleep(time.Millisecond) {
		if w.end(Step{Clock: 3}); time.Now().After(end) {
			t.Fatal("it was not taken up again")
		}
	}
	w.Close()
	files, err := ListSegments(dir)
	if err != nil || len(files) == 0 {
		t.Fatalf("%v, %v", files, err)
	}
	if s, err := OpenSegment(files[0]); err != nil {
		t.Error(err)
	} else {
		s.Close()
	}
}

// faultDisk is a disk that is full, stands still, or can't make a folder so many times.
type faultDisk struct {
	machine
	full, still   atomic.Bool
	tries, unmade atomic.Int64
}

func (d *faultDisk) Make(dir string) error {
	if d.unmade.Add(-1) >= 0 {
		return syscall.EIO
	}
	return d.machine.Make(dir)
}

func (d *faultDisk) Create(name string, flags int) (file, error) {
	d.tries.Add(1)
	f, err := d.machine.Create(name, flags)
	return fullFile{f, d}, err
}

type fullFile struct {
	file
	d *faultDisk
}

func (f fullFile) Write(b []byte) (int, error) {
	for f.d.still.Load() {
		time.Sleep(time.Millisecond)
	}
	if f.d.full.Load() {
		n, _ := f.file.Write(b[:len(b)/2])
		return n, syscall.ENOSPC
	}
	return f.file.Write(b)
}

// faulty opens a recording on such a disk.
func faulty(t *testing.T, dir string, log zerolog.Logger, d *faultDisk) *Writer {
	t.Helper()
	w, err := open(dir, Limits{SegmentBytes: 1 << 20, SegmentAge: time.Hour, TotalBytes: 1 << 30}, Header{Incarnation: "a"}, state, log, d)
	if err != nil {
		t.Fatal(err)
	}
	w.pause = time.Millisecond // before anything is handed to its goroutine
	return w
}

// saying is a log that is read while it is written.
type saying struct {
	mu   sync.Mutex
	text strings.Builder
}

func (s *saying) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(b)
}

func (s *saying) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

// However long a folder is full, no segments of nothing pile up; it is said once, and once it is over.
func TestFullFolder(t *testing.T) {
	dir := t.TempDir()
	said := &saying{}
	d := &faultDisk{}
	w := faulty(t, dir, zerolog.New(said), d)
	d.full.Store(true)
	w.BeginSegment(1)
	for d.tries.Load() < 12 {
		w.end(Step{Clock: 2})
		time.Sleep(time.Millisecond)
		if left, err := ListSegments(dir); err != nil || len(left) > 1 {
			t.Fatalf("%q, %v", left, err)
		}
	}
	d.full.Store(false)
	for begun := time.Now(); !strings.Contains(said.String(), "goes on") && time.Since(begun) < 10*time.Second; {
		w.end(Step{Clock: 3})
		time.Sleep(time.Millisecond)
		if w.LostSteps() > 1<<20 {
			break
		}
	}
	w.Close()
	if n, m := strings.Count(said.String(), "recording failed"), strings.Count(said.String(), "goes on"); n != 1 || m != 1 {
		t.Errorf("said %d and %d times: %s", n, m, said.String())
	}
	if left, err := ListSegments(dir); err != nil || len(left) != 1 {
		t.Errorf("%q, %v", left, err)
	}
}

// A disk that stands still keeps neither a turn nor a router's end waiting.
func TestDiskThatStandsStill(t *testing.T) {
	d := &faultDisk{}
	w := faulty(t, t.TempDir(), zerolog.Nop(), d)
	d.still.Store(true)
	begun := time.Now()
	w.BeginSegment(1)
	for range 4 * depth {
		w.end(Step{Clock: 2})
	}
	turns := time.Since(begun)
	w.Close()
	if whole := time.Since(begun); turns > closeTime || whole > 3*closeTime || w.LostSteps() < depth {
		t.Errorf("%v for turns, %v in all, %d lost", turns, whole, w.LostSteps())
	}
	d.still.Store(false)
	w.done.Wait()
}

// A folder that can't be made for a moment keeps no router from starting, and is made later; one that can't be for good does.
func TestFolderThatCannotBeMade(t *testing.T) {
	d := &faultDisk{}
	d.unmade.Store(3)
	w := faulty(t, filepath.Join(t.TempDir(), "r"), zerolog.Nop(), d)
	w.BeginSegment(1)
	for end := time.Now().Add(10 * time.Second); w.WrittenBytes() == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		w.end(Step{Clock: 2})
	}
	w.Close()
	if left, err := ListSegments(w.dir); err != nil || len(left) != 1 {
		t.Errorf("%q, %v", left, err)
	}
	name := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(name, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(name, Limits{}, Header{}, state, zerolog.Nop()); err == nil {
		t.Error("a file was taken for a folder")
	}
}

func TestTotalIsBounded(t *testing.T) {
	dir := t.TempDir()
	w := &Writer{dir: dir, bounds: Limits{SegmentBytes: 100, TotalBytes: 1000}, head: Header{Incarnation: "a"}, log: zerolog.Nop()}
	for i := range 20 {
		if err := os.WriteFile(filepath.Join(dir, string(rune('a'+i))+"-000000.rec"), make([]byte, 100), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	w.makeRoom()
	if files, _ := ListSegments(dir); len(files) != 9 {
		t.Errorf("%d files are left", len(files))
	}
}

// A recording of the format before, by the build that wrote it, is read.
func TestOlderFormatIsRead(t *testing.T) {
	s, err := OpenSegment("testdata/format1.rec")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	turns, jobs := 0, 0
	err = s.ForEachStep(func(_ uint64, turn Step) error {
		turns++
		for _, n := range turn.Events {
			if n.Added != nil {
				jobs++
			}
		}
		return nil
	})
	if err != nil || s.Version != 1 || turns != 314 || jobs != 151 {
		t.Errorf("format %d, %d turns, %d jobs, %v", s.Version, turns, jobs, err)
	}
}

func TestNewerVersionIsRefused(t *testing.T) {
	b, err := appendFrame([]byte(magic), Header{Version: Version + 1})
	if err != nil {
		t.Fatal(err)
	}
	name := filepath.Join(t.TempDir(), "n.rec")
	if err := os.WriteFile(name, b, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := OpenSegment(name); !errors.Is(err, ErrNewer) {
		t.Errorf("got %v", err)
	}
}

// BenchmarkCheckpoint is a segment's beginning at 80 servers and 1000 functions; it is made outside turns.
func BenchmarkCheckpoint(b *testing.B) {
	told := control.Deployment{Routers: 3, Tick: 4000, MaxAttempts: 3, OverloadWindow: 1_000_000, KeepAlive: 60_000_000, LoadsOnMiss: true,
		Classes: []control.Class{{LatencyObjective: 1_000_000, MaxDeadline: 60_000_000}}}
	now := control.Micros(1_000_000_000)
	c := core.New(control.New(now, 1, told), core.NoopExecutor{})
	list := make([]control.Endpoint, 80)
	for i := range list {
		list[i] = control.Endpoint{Server: control.ServerID(i + 1), State: control.Ready, Weight: 1}
	}
	c.UpdateEndpoints(now, control.FullUpdate, list)
	for i := range control.RequestID(1000) {
		c.Add(now, control.Request{ID: i, Function: control.FunctionID(i), Lanes: 1, ArrivedAt: now, Deadline: now + 1<<50})
	}
	c.Step(now)
	s, err := c.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	size := 0
	for b.Loop() {
		still, err := SnapshotSegment(Header{}, now, s)
		if err != nil {
			b.Fatal(err)
		}
		size = len(still)
	}
	b.ReportMetric(float64(size), "bytes")
}
