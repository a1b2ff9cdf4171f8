package record

import (
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

func emptySnapshot() (*core.Snapshot, error) {
	return &core.Snapshot{Balancer: &control.Snapshot{}}, nil
}

// A disk that is too slow delays no step: steps are dropped, and the next segment says how many.
func TestSlowDiskLosesStepsAndReportsThem(t *testing.T) {
	w := &Writer{queue: queue{wake: make(chan struct{}, 1)}, snapshot: emptySnapshot, log: zerolog.Nop()} // there is no writer goroutine
	w.BeginSegment(1)
	for i := range control.Micros(queueDepth + 9) {
		w.endStep(Step{Clock: i})
	}
	if w.LostSteps() != 10 { // the header took a place too
		t.Errorf("%d steps lost", w.LostSteps())
	}
	w.queue.drain(nil)
	w.endStep(Step{Clock: 99}) // there is room again
	items, _ := w.queue.drain(nil)
	if len(items) != 1 || items[0].header == nil || items[0].header.LostSteps != 11 ||
		items[0].header.FirstStep != queueDepth+10 || items[0].header.Clock != 99 {
		t.Errorf("got %+v", items)
	}
	w.endStep(Step{Clock: 100})
	if items, _ = w.queue.drain(nil); len(items) != 1 || items[0].number != queueDepth+10 {
		t.Errorf("got %+v", items)
	}
}

// A directory that can't be written to costs steps of the recording; once it can, recording resumes.
func TestFailingDisk(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "r")
	w, err := Open(dir, Limits{SegmentBytes: 1 << 20, SegmentAge: time.Hour, TotalBytes: 1 << 30}, Header{Incarnation: "a"},
		emptySnapshot, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(dir); err != nil {
		t.Fatal(err)
	}
	w.BeginSegment(1)
	for w.LostSteps() == 0 {
		w.endStep(Step{Clock: 2})
		time.Sleep(time.Millisecond)
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); w.WrittenBytes() == 0; time.Sleep(time.Millisecond) {
		if w.endStep(Step{Clock: 3}); time.Now().After(end) {
			t.Fatal("recording was not resumed")
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

// faultDisk is a disk that is full, stalls, or fails to make a directory so many times.
type faultDisk struct {
	osDisk
	full, stalled         atomic.Bool
	creates, makeFailures atomic.Int64
}

func (d *faultDisk) MakeDir(dir string) error {
	if d.makeFailures.Add(-1) >= 0 {
		return syscall.EIO
	}
	return d.osDisk.MakeDir(dir)
}

func (d *faultDisk) Create(name string, flags int) (file, error) {
	d.creates.Add(1)
	f, err := d.osDisk.Create(name, flags)
	return fullFile{f, d}, err
}

type fullFile struct {
	file
	disk *faultDisk
}

func (f fullFile) Write(b []byte) (int, error) {
	for f.disk.stalled.Load() {
		time.Sleep(time.Millisecond)
	}
	if f.disk.full.Load() {
		n, _ := f.file.Write(b[:len(b)/2])
		return n, syscall.ENOSPC
	}
	return f.file.Write(b)
}

// openOnFaultDisk opens a recording on such a disk.
func openOnFaultDisk(t *testing.T, dir string, log zerolog.Logger, disk *faultDisk) *Writer {
	t.Helper()
	w, err := open(dir, Limits{SegmentBytes: 1 << 20, SegmentAge: time.Hour, TotalBytes: 1 << 30}, Header{Incarnation: "a"},
		emptySnapshot, log, disk)
	if err != nil {
		t.Fatal(err)
	}
	w.retryDelay = time.Millisecond // before anything is queued for its goroutine
	return w
}

// logBuffer is a log that is read while it is written.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (s *logBuffer) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(b)
}

func (s *logBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

// However long a disk is full, segments without steps don't pile up. The failure is logged once, and its end once.
func TestFullDisk(t *testing.T) {
	dir := t.TempDir()
	log := &logBuffer{}
	disk := &faultDisk{}
	w := openOnFaultDisk(t, dir, zerolog.New(log), disk)
	disk.full.Store(true)
	w.BeginSegment(1)
	for disk.creates.Load() < 12 {
		w.endStep(Step{Clock: 2})
		time.Sleep(time.Millisecond)
		if left, err := ListSegments(dir); err != nil || len(left) > 1 {
			t.Fatalf("%q, %v", left, err)
		}
	}
	disk.full.Store(false)
	for begun := time.Now(); !strings.Contains(log.String(), "recording resumed") && time.Since(begun) < 10*time.Second; {
		w.endStep(Step{Clock: 3})
		time.Sleep(time.Millisecond)
		if w.LostSteps() > 1<<20 {
			break
		}
	}
	w.Close()
	if n, m := strings.Count(log.String(), "recording failed"), strings.Count(log.String(), "recording resumed"); n != 1 || m != 1 {
		t.Errorf("logged %d and %d times: %s", n, m, log.String())
	}
	if left, err := ListSegments(dir); err != nil || len(left) != 1 {
		t.Errorf("%q, %v", left, err)
	}
}

// A stalled disk delays neither a step nor a shutdown.
func TestStalledDisk(t *testing.T) {
	disk := &faultDisk{}
	w := openOnFaultDisk(t, t.TempDir(), zerolog.Nop(), disk)
	disk.stalled.Store(true)
	begun := time.Now()
	w.BeginSegment(1)
	for range 4 * queueDepth {
		w.endStep(Step{Clock: 2})
	}
	steps := time.Since(begun)
	w.Close()
	if total := time.Since(begun); steps > closeTimeout || total > 3*closeTimeout || w.LostSteps() < queueDepth {
		t.Errorf("%v for steps, %v in all, %d lost", steps, total, w.LostSteps())
	}
	disk.stalled.Store(false)
	w.wg.Wait()
}

// A directory that can't be made for a moment keeps no router from starting, and is made later; one that can't be made at all does.
func TestDirectoryThatCannotBeMade(t *testing.T) {
	disk := &faultDisk{}
	disk.makeFailures.Store(3)
	w := openOnFaultDisk(t, filepath.Join(t.TempDir(), "r"), zerolog.Nop(), disk)
	w.BeginSegment(1)
	for end := time.Now().Add(10 * time.Second); w.WrittenBytes() == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		w.endStep(Step{Clock: 2})
	}
	w.Close()
	if left, err := ListSegments(w.dir); err != nil || len(left) != 1 {
		t.Errorf("%q, %v", left, err)
	}
	name := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(name, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(name, Limits{}, Header{}, emptySnapshot, zerolog.Nop()); err == nil {
		t.Error("a file was taken for a directory")
	}
}

// BenchmarkCheckpoint encodes the beginning of a segment with 80 servers and 1000 functions, which the writer goroutine does.
func BenchmarkCheckpoint(b *testing.B) {
	deployment := control.Deployment{Routers: 3, Tick: 4000, MaxAttempts: 3, OverloadWindow: 1_000_000, KeepAlive: 60_000_000,
		LoadsOnMiss: true,
		Classes:     []control.Class{{LatencyObjective: 1_000_000, MaxDeadline: 60_000_000}}}
	now := control.Micros(1_000_000_000)
	c := core.New(control.New(now, 1, deployment), core.NoopExecutor{})
	endpoints := make([]control.Endpoint, 80)
	for i := range endpoints {
		endpoints[i] = control.Endpoint{Server: control.ServerID(i + 1), State: control.Ready, Weight: 1}
	}
	c.UpdateEndpoints(now, control.FullUpdate, endpoints)
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
		segment, err := EncodeSnapshot(Header{}, now, s)
		if err != nil {
			b.Fatal(err)
		}
		size = len(segment)
	}
	b.ReportMetric(float64(size), "bytes")
}
