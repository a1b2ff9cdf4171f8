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

// A disk that is too slow doesn't delay steps: steps are dropped, and the next segment's header says how many.
func TestSlowDiskLosesStepsAndReportsThem(t *testing.T) {
	w := &Writer{queue: queue{wake: make(chan struct{}, 1)}, snapshot: emptySnapshot, log: zerolog.Nop()} // without a writer goroutine
	w.BeginSegment(1)
	for i := range control.Micros(queueDepth + 9) {
		w.endStep(Step{Clock: i})
	}
	if w.LostSteps() != 10 { // the header took one place in the queue
		t.Errorf("%d steps lost", w.LostSteps())
	}
	w.queue.drain(nil)
	w.endStep(Step{Clock: 99}) // begins a segment, since there is room again
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

// While the directory can't be written to, steps are lost; once it can be, recording resumes.
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
	for deadline := time.Now().Add(10 * time.Second); w.WrittenBytes() == 0; time.Sleep(time.Millisecond) {
		if w.endStep(Step{Clock: 3}); time.Now().After(deadline) {
			t.Fatal("recording was not resumed")
		}
	}
	w.Close()
	files, err := ListSegments(dir)
	if err != nil || len(files) == 0 {
		t.Fatalf("got segments %q, %v", files, err)
	}
	if s, err := OpenSegment(files[0]); err != nil {
		t.Error(err)
	} else {
		s.Close()
	}
}

// faultDisk is a disk that can be full or stalled, or fail to create a directory a number of times.
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
	return faultFile{f, d}, err
}

type faultFile struct {
	file
	disk *faultDisk
}

func (f faultFile) Write(b []byte) (int, error) {
	for f.disk.stalled.Load() {
		time.Sleep(time.Millisecond)
	}
	if f.disk.full.Load() {
		n, _ := f.file.Write(b[:len(b)/2])
		return n, syscall.ENOSPC
	}
	return f.file.Write(b)
}

// openOnFaultDisk opens a recording on a faultDisk.
func openOnFaultDisk(t *testing.T, dir string, log zerolog.Logger, disk *faultDisk) *Writer {
	t.Helper()
	w, err := open(dir, Limits{SegmentBytes: 1 << 20, SegmentAge: time.Hour, TotalBytes: 1 << 30}, Header{Incarnation: "a"},
		emptySnapshot, log, disk)
	if err != nil {
		t.Fatal(err)
	}
	w.retryDelay = time.Millisecond // safe, since nothing is queued for the writer goroutine yet
	return w
}

// logBuffer collects log output and can be read while the log is written.
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

// However long a disk is full, segments without steps don't accumulate. The failure and its end are each logged once.
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
		if segments, err := ListSegments(dir); err != nil || len(segments) > 1 {
			t.Fatalf("got segments %q, %v", segments, err)
		}
	}
	disk.full.Store(false)
	for start := time.Now(); !strings.Contains(log.String(), "recording resumed") && time.Since(start) < 10*time.Second; {
		w.endStep(Step{Clock: 3})
		time.Sleep(time.Millisecond)
		if w.LostSteps() > 1<<20 {
			break
		}
	}
	w.Close()
	if failedCount, resumedCount := strings.Count(log.String(), "recording failed"),
		strings.Count(log.String(), "recording resumed"); failedCount != 1 || resumedCount != 1 {
		t.Errorf("logged %d and %d times: %s", failedCount, resumedCount, log.String())
	}
	if segments, err := ListSegments(dir); err != nil || len(segments) != 1 {
		t.Errorf("%q, %v", segments, err)
	}
}

// A stalled disk delays neither steps nor the shutdown.
func TestStalledDisk(t *testing.T) {
	disk := &faultDisk{}
	w := openOnFaultDisk(t, t.TempDir(), zerolog.Nop(), disk)
	disk.stalled.Store(true)
	start := time.Now()
	w.BeginSegment(1)
	for range 4 * queueDepth {
		w.endStep(Step{Clock: 2})
	}
	stepsDuration := time.Since(start)
	w.Close()
	if total := time.Since(start); stepsDuration > closeTimeout || total > 3*closeTimeout || w.LostSteps() < queueDepth {
		t.Errorf("%v for the steps, %v in total, %d steps lost", stepsDuration, total, w.LostSteps())
	}
	disk.stalled.Store(false)
	w.wg.Wait()
}

// A transient failure to create the directory doesn't prevent a router from starting, and the directory is created later. A permanent
// failure is reported by Open.
func TestDirectoryThatCannotBeMade(t *testing.T) {
	disk := &faultDisk{}
	disk.makeFailures.Store(3)
	w := openOnFaultDisk(t, filepath.Join(t.TempDir(), "r"), zerolog.Nop(), disk)
	w.BeginSegment(1)
	for deadline := time.Now().Add(10 * time.Second); w.WrittenBytes() == 0 && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		w.endStep(Step{Clock: 2})
	}
	w.Close()
	if segments, err := ListSegments(w.dir); err != nil || len(segments) != 1 {
		t.Errorf("%q, %v", segments, err)
	}
	name := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(name, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(name, Limits{}, Header{}, emptySnapshot, zerolog.Nop()); err == nil {
		t.Error("a recording was opened in a file instead of a directory")
	}
}

// BenchmarkCheckpoint encodes the start of a segment for 80 servers and 1000 functions, as the writer goroutine does.
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
