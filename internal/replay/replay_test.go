package replay

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"hollymast/control"
	"hollymast/internal/core"
	"hollymast/internal/record"
)

// traffic drives a recorded core: requests come, run for a while on some server, and end in all ways.
type traffic struct {
	core.NoopExecutor
	core     *core.Core
	now      control.Micros
	rand     uint64
	inFlight []flight
	last     control.RequestID
}

type flight struct {
	request control.RequestID
	attempt control.AttemptID
	server  control.ServerID
}

func (t *traffic) below(n uint64) uint64 { // SplitMix64's step
	t.rand += 0x9e3779b97f4a7c15
	x := (t.rand ^ t.rand>>30) * 0xbf58476d1ce4e5b9
	return (x ^ x>>27) % n
}

func (t *traffic) Forward(request *control.Request, attempt control.AttemptID, to control.ServerID, _ control.Micros) {
	t.inFlight = append(t.inFlight, flight{request.ID, attempt, to})
}

// step runs a step, which begins with a full endpoint list unless there is none. All of a step has one clock.
func (t *traffic) step(endpoints ...control.Endpoint) {
	t.now += control.Micros(1 + t.below(8000))
	if len(endpoints) > 0 {
		t.core.UpdateEndpoints(t.now, control.FullUpdate, endpoints)
	}
	for range t.below(3) {
		t.last++
		t.core.Add(t.now, control.Request{ID: t.last, Class: control.ClassID(t.below(2)), Function: control.FunctionID(t.below(9)), Lanes: 2,
			ArrivedAt: t.now, Deadline: t.now + 2_000_000})
	}
	for len(t.inFlight) > 8 {
		i := t.below(uint64(len(t.inFlight)))
		x := t.inFlight[i]
		t.inFlight[i] = t.inFlight[len(t.inFlight)-1]
		t.inFlight = t.inFlight[:len(t.inFlight)-1]
		o := control.Outcome{Attempt: x.attempt, Server: x.server, Duration: control.Micros(10_000 + t.below(40_000)),
			Report: &control.LoadReport{Utilization: 0.5}}
		if t.below(5) == 0 {
			o.Result = control.Result(t.below(9))
		}
		o.RequestDone = o.Result == control.Succeeded
		t.core.HandleOutcome(t.now, x.request, o)
	}
	if t.below(50) == 0 {
		t.core.Cancel(t.now, t.last-control.RequestID(t.below(5)))
	}
	t.core.Step(t.now)
}

// recorded records some steps into several segments and returns the files.
func recordSteps(t *testing.T, steps int) []string {
	t.Helper()
	deployment := control.Deployment{Routers: 2, Tick: 4000, MaxAttempts: 3, MaxRetryAfter: 1_000_000, SupportsCancel: true,
		OverloadWindow: 1_000_000, OverloadFactor: 2,
		KeepAlive: 1_000_000, SupportsLoadCommands: true, LoadsOnMiss: true, Classes: []control.Class{{LatencyObjective: 300_000, MaxDeadline: 2_000_000},
			{LatencyObjective: 300_000, MaxDeadline: 2_000_000, Idempotency: control.NonIdempotent}}}
	tr := &traffic{now: 5_000_000, rand: 1}
	tr.core = core.New(control.New(tr.now, 1, deployment), tr)
	dir := t.TempDir()
	w, err := record.Open(dir, record.Limits{SegmentBytes: 1, SegmentAge: time.Hour, TotalBytes: 1 << 30},
		record.Header{Incarnation: "a"}, tr.core.Snapshot, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	tr.core.SetRecorder(w.Recorder())
	w.BeginSegment(tr.now)
	tr.core.UpdateEndpoints(tr.now, control.FullUpdate, []control.Endpoint{{Server: 1, State: control.Ready, Weight: 1},
		{Server: 2, State: control.Ready, Weight: 1}})
	tr.core.Step(tr.now)
	for i := range steps {
		tr.step()
		if i%(steps/3) == 0 { // the writer wants another segment once it has written this one's beginning
			awaitStep(t, dir, uint64(i)+1)
		}
	}
	w.Close()
	if w.LostSteps() > 0 {
		t.Fatalf("%d steps were lost", w.LostSteps())
	}
	files, err := record.ListSegments(dir)
	if err != nil || len(files) < 3 {
		t.Fatalf("%d segments, %v", len(files), err)
	}
	return files
}

// awaitStep waits until a step is written.
func awaitStep(t *testing.T, dir string, number uint64) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); lastStep(dir) < number; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("step %d is not written", number)
		}
	}
}

// lastStep returns the number of the last step that is written in a directory.
func lastStep(dir string) (last uint64) {
	files, err := record.ListSegments(dir)
	if err != nil || len(files) == 0 {
		return 0
	}
	s, err := record.OpenSegment(files[len(files)-1])
	if err != nil { // it is being written
		return 0
	}
	defer s.Close()
	last = max(s.FirstStep, 1) - 1 // a segment begins once the one before is written
	s.ForEachStep(func(number uint64, _ record.Step) error { last = number; return nil })
	return last
}

func TestReplayDecidesTheSame(t *testing.T) {
	files := recordSteps(t, 1200)
	a, err := Play(files, Options{})
	if err != nil || a.Steps != 1201 || a.Commands < 500 || len(a.Damaged) > 0 {
		t.Errorf("got %+v, %v", a, err)
	}
	if a, err = Play(files[1:], Options{}); err != nil || a.Steps == 0 || a.Steps >= 1201 {
		t.Errorf("from the middle: %+v, %v", a, err)
	}
	if a, err = Play(files, Options{Until: 99}); err != nil || a.Steps != 100 {
		t.Errorf("until: %+v, %v", a, err)
	}
}

// A build that decides otherwise is found: here one value of its configuration differs.
func TestPlantedDifferenceIsFound(t *testing.T) {
	found := false
	for _, name := range recordSteps(t, 1200) {
		s, err := record.OpenSegment(name)
		if err != nil {
			t.Fatal(err)
		}
		s.Checkpoint.Balancer.Deployment.MaxRetryAfter++ // shows at a segment's first rejection and no earlier
		p, err := NewPlayer(s.Checkpoint)
		if err != nil {
			t.Fatal(err)
		}
		var a Summary
		rejected, last := false, uint64(0)
		err = s.ForEachStep(func(n uint64, step record.Step) error {
			for _, d := range step.Commands {
				rejected = rejected || d.Kind == record.CommandReject
			}
			last = n
			return a.playStep(p, Options{}, name, n, step)
		})
		s.Close()
		var d *Difference
		if errors.As(err, &d) != rejected || rejected && (d.Step != last || d.Request == 0 || d.Recorded == d.Replayed) {
			t.Errorf("got %v at step %d; rejected %t", err, last, rejected)
		}
		found = found || rejected
	}
	if !found {
		t.Error("no request was ever rejected")
	}
}

func TestDamage(t *testing.T) {
	files := recordSteps(t, 1200)
	text, err := os.ReadFile(files[1])
	if err != nil {
		t.Fatal(err)
	}
	whole, err := Play(files, Options{})
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	for i, broken := range [][]byte{text[:len(text)-1], text[:len(text)/2], text[:30],
		append(text[:len(text)-20:len(text)-20], make([]byte, 20)...)} {
		name := filepath.Join(dir, "broken.rec")
		if err := os.WriteFile(name, broken, 0o600); err != nil {
			t.Fatal(err)
		}
		a, err := Play([]string{files[0], name, files[2]}, Options{})
		if err != nil || len(a.Damaged) != 1 || a.Steps >= whole.Steps || a.Steps == 0 {
			t.Errorf("damage %d: %+v, %v", i, a, err)
		}
	}
	if err := os.WriteFile(filepath.Join(dir, "other.rec"), []byte("something else, of some length"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Play([]string{filepath.Join(dir, "other.rec")}, Options{}); err == nil {
		t.Error("a file of another kind was played")
	}
}

// A recording that an earlier build made is replayed, from its checkpoint on, to the same decisions. Slow start has changed
// since the first one was made: it is replayed to where a server starts.
func TestStoredRecordingDecidesTheSame(t *testing.T) {
	for _, c := range []struct {
		file            string
		until           uint64
		steps, commands uint64
	}{
		{"testdata/format2.rec", 200, 201, 131},
		{slowStartFile, 0, 600, 711},
	} {
		a, err := Play([]string{c.file}, Options{Until: c.until})
		if err != nil || a.Steps != c.steps || a.Commands != c.commands || len(a.Damaged) > 0 {
			t.Errorf("%s: got %+v, %v", c.file, a, err)
		}
	}
}

// slowStartFile is a recording in which servers start and their budget in slow start binds.
const slowStartFile = "testdata/format3.rec"

// A recording in which slow start decides is replayed to the same decisions. With GOLDEN_WRITE=1 it is stored where the file is
// missing: a deliberate change of decisions needs one.
func TestSlowStartIsReplayed(t *testing.T) {
	file := recordSlowStart(t)
	if a, err := Play([]string{file}, Options{}); err != nil || a.Steps != 600 || a.Commands == 0 {
		t.Errorf("got %+v, %v", a, err)
	}
	if _, err := os.Stat(slowStartFile); err == nil || os.Getenv("GOLDEN_WRITE") != "1" {
		return
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(slowStartFile, text, 0o644); err != nil {
		t.Fatal(err)
	}
}

// recordSlowStart records 600 steps in which one server after another starts anew, and returns the one file.
func recordSlowStart(t *testing.T) string {
	t.Helper()
	deployment := control.Deployment{Routers: 3, Tick: 4000, MaxAttempts: 3, MaxRetryAfter: 1_000_000, SupportsCancel: true,
		OverloadWindow: 200_000, OverloadFactor: 0.15, SlowStartInitial: 0.25, SlowStartDuration: 10_000_000,
		KeepAlive: 1_000_000, SupportsLoadCommands: true, LoadsOnMiss: true, Classes: []control.Class{{LatencyObjective: 300_000, MaxDeadline: 2_000_000},
			{LatencyObjective: 300_000, MaxDeadline: 2_000_000, Idempotency: control.NonIdempotent}}}
	tr := &traffic{now: 5_000_000, rand: 1}
	tr.core = core.New(control.New(tr.now, 1, deployment), tr)
	dir := t.TempDir()
	w, err := record.Open(dir, record.Limits{SegmentBytes: 1 << 20, SegmentAge: time.Hour, TotalBytes: 1 << 30, BlockWhenFull: true},
		record.Header{Incarnation: "a"}, tr.core.Snapshot, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	tr.core.SetRecorder(w.Recorder())
	w.BeginSegment(tr.now)
	for i := range 600 {
		var endpoints []control.Endpoint
		if i%150 == 0 { // servers 1 to 4 are there, and one of them has started anew
			for id := range control.ServerID(4) {
				endpoints = append(endpoints, control.Endpoint{Server: id + 1, State: control.Ready, Weight: 1})
			}
			if i > 0 {
				endpoints[i/150].StartedAt = tr.now
			}
		}
		tr.step(endpoints...)
	}
	w.Close()
	files, err := record.ListSegments(dir)
	if err != nil || len(files) != 1 {
		t.Fatalf("%d segments, %v", len(files), err)
	}
	return files[0]
}
