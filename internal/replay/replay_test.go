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

// trafficGenerator drives a recorded core with requests that arrive, run for a while on some server, and end with any result.
type trafficGenerator struct {
	core.NoopExecutor
	core        *core.Core
	now         control.Micros
	randomState uint64
	inFlight    []attemptInFlight
	lastRequest control.RequestID
}

type attemptInFlight struct {
	request control.RequestID
	attempt control.AttemptID
	server  control.ServerID
}

func (g *trafficGenerator) randomBelow(n uint64) uint64 { // one step of SplitMix64
	g.randomState += 0x9e3779b97f4a7c15
	x := (g.randomState ^ g.randomState>>30) * 0xbf58476d1ce4e5b9
	return (x ^ x>>27) % n
}

func (g *trafficGenerator) Forward(request *control.Request, attempt control.AttemptID, to control.ServerID, _ control.Micros) {
	g.inFlight = append(g.inFlight, attemptInFlight{request.ID, attempt, to})
}

// step runs a step of the core. It begins with a full endpoint list if any endpoints are given. All its events have the same time.
func (g *trafficGenerator) step(endpoints ...control.Endpoint) {
	g.now += control.Micros(1 + g.randomBelow(8000))
	if len(endpoints) > 0 {
		g.core.UpdateEndpoints(g.now, control.FullUpdate, endpoints)
	}
	for range g.randomBelow(3) {
		g.lastRequest++
		g.core.Add(g.now, control.Request{ID: g.lastRequest, Class: control.ClassID(g.randomBelow(2)), Function: control.FunctionID(g.randomBelow(9)),
			Lanes: 2, ArrivedAt: g.now, Deadline: g.now + 2_000_000})
	}
	for len(g.inFlight) > 8 {
		i := g.randomBelow(uint64(len(g.inFlight)))
		attempt := g.inFlight[i]
		g.inFlight[i] = g.inFlight[len(g.inFlight)-1]
		g.inFlight = g.inFlight[:len(g.inFlight)-1]
		o := control.Outcome{Attempt: attempt.attempt, Server: attempt.server, Duration: control.Micros(10_000 + g.randomBelow(40_000)),
			Report: &control.LoadReport{Utilization: 0.5}}
		if g.randomBelow(5) == 0 {
			o.Result = control.Result(g.randomBelow(9))
		}
		o.RequestDone = o.Result == control.Succeeded
		g.core.HandleOutcome(g.now, attempt.request, o)
	}
	if g.randomBelow(50) == 0 {
		g.core.Cancel(g.now, g.lastRequest-control.RequestID(g.randomBelow(5)))
	}
	g.core.Step(g.now)
}

// recordSegments records a number of steps into several segments and returns the files.
func recordSegments(t *testing.T, steps int) []string {
	t.Helper()
	deployment := control.Deployment{Routers: 2, Tick: 4000, MaxAttempts: 3, MaxRetryAfter: 1_000_000, SupportsCancel: true,
		OverloadWindow: 1_000_000, OverloadFactor: 2,
		KeepAlive: 1_000_000, SupportsLoadCommands: true, LoadsOnMiss: true, Classes: []control.Class{{LatencyObjective: 300_000, MaxDeadline: 2_000_000},
			{LatencyObjective: 300_000, MaxDeadline: 2_000_000, Idempotency: control.NonIdempotent}}}
	generator := &trafficGenerator{now: 5_000_000, randomState: 1}
	generator.core = core.New(control.New(generator.now, 1, deployment), generator)
	dir := t.TempDir()
	w, err := record.Open(dir, record.Limits{SegmentBytes: 1, SegmentAge: time.Hour, TotalBytes: 1 << 30},
		record.Header{Incarnation: "a"}, generator.core.Snapshot, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	generator.core.SetRecorder(w.Recorder())
	w.BeginSegment(generator.now)
	generator.core.UpdateEndpoints(generator.now, control.FullUpdate, []control.Endpoint{{Server: 1, State: control.Ready, Weight: 1},
		{Server: 2, State: control.Ready, Weight: 1}})
	generator.core.Step(generator.now)
	for i := range steps {
		generator.step()
		if i%(steps/3) == 0 { // the writer requests another segment once it has written this one's first steps
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

// awaitStep waits until a step is written to disk.
func awaitStep(t *testing.T, dir string, number uint64) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); lastStep(dir) < number; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("step %d is not written", number)
		}
	}
}

// lastStep returns the number of the last step written to a directory.
func lastStep(dir string) (last uint64) {
	files, err := record.ListSegments(dir)
	if err != nil || len(files) == 0 {
		return 0
	}
	s, err := record.OpenSegment(files[len(files)-1])
	if err != nil { // its start is still being written
		return 0
	}
	defer s.Close()
	last = max(s.FirstStep, 1) - 1 // a segment begins once the preceding one is written
	s.ForEachStep(func(number uint64, _ record.Step) error { last = number; return nil })
	return last
}

func TestReplayDecidesTheSame(t *testing.T) {
	files := recordSegments(t, 1200)
	summary, err := Play(files, Options{})
	if err != nil || summary.Steps != 1201 || summary.Commands < 500 || len(summary.Damaged) > 0 {
		t.Errorf("got %+v, %v", summary, err)
	}
	if summary, err = Play(files[1:], Options{}); err != nil || summary.Steps == 0 || summary.Steps >= 1201 {
		t.Errorf("from the middle: %+v, %v", summary, err)
	}
	if summary, err = Play(files, Options{Until: 99}); err != nil || summary.Steps != 100 {
		t.Errorf("until: %+v, %v", summary, err)
	}
}

// Replaying with a different build is detected if it decides differently; here one value of the configuration differs.
func TestPlantedDifferenceIsFound(t *testing.T) {
	found := false
	for _, name := range recordSegments(t, 1200) {
		s, err := record.OpenSegment(name)
		if err != nil {
			t.Fatal(err)
		}
		s.Checkpoint.Balancer.Deployment.MaxRetryAfter++ // changes the first rejection in a segment and nothing before it
		p, err := NewPlayer(s.Checkpoint)
		if err != nil {
			t.Fatal(err)
		}
		var summary Summary
		rejected, last := false, uint64(0)
		err = s.ForEachStep(func(n uint64, step record.Step) error {
			for _, command := range step.Commands {
				rejected = rejected || command.Kind == record.CommandReject
			}
			last = n
			return summary.playStep(p, Options{}, name, n, step)
		})
		s.Close()
		var difference *Difference
		if errors.As(err, &difference) != rejected || rejected && (difference.Step != last ||
			difference.Request == 0 || difference.Recorded == difference.Replayed) {
			t.Errorf("got %v at step %d; rejected %t", err, last, rejected)
		}
		found = found || rejected
	}
	if !found {
		t.Error("no request was ever rejected")
	}
}

func TestDamage(t *testing.T) {
	files := recordSegments(t, 1200)
	segment, err := os.ReadFile(files[1])
	if err != nil {
		t.Fatal(err)
	}
	whole, err := Play(files, Options{})
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	for i, damaged := range [][]byte{segment[:len(segment)-1], segment[:len(segment)/2], segment[:30],
		append(segment[:len(segment)-20:len(segment)-20], make([]byte, 20)...)} {
		name := filepath.Join(dir, "broken.rec")
		if err := os.WriteFile(name, damaged, 0o600); err != nil {
			t.Fatal(err)
		}
		summary, err := Play([]string{files[0], name, files[2]}, Options{})
		if err != nil || len(summary.Damaged) != 1 || summary.Steps >= whole.Steps || summary.Steps == 0 {
			t.Errorf("damage %d: %+v, %v", i, summary, err)
		}
	}
	if err := os.WriteFile(filepath.Join(dir, "other.rec"), []byte("something else, of some length"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Play([]string{filepath.Join(dir, "other.rec")}, Options{}); err == nil {
		t.Error("a file that is not a recording was replayed")
	}
}

// Recordings made by earlier builds are replayed from their checkpoints with the same decisions. Slow start has changed since the first one
// was made, so that it is replayed only up to the start of a server.
func TestStoredRecordingDecidesTheSame(t *testing.T) {
	for _, c := range []struct {
		file            string
		until           uint64
		steps, commands uint64
	}{
		{"testdata/format2.rec", 200, 201, 131},
		{slowStartFile, 0, 600, 711},
	} {
		summary, err := Play([]string{c.file}, Options{Until: c.until})
		if err != nil || summary.Steps != c.steps || summary.Commands != c.commands || len(summary.Damaged) > 0 {
			t.Errorf("%s: got %+v, %v", c.file, summary, err)
		}
	}
}

// slowStartFile is a recording in which servers start and the slow start budget limits what they get.
const slowStartFile = "testdata/format3.rec"

// A recording in which slow start affects decisions is replayed with the same decisions. With GOLDEN_WRITE=1 the recording is stored as
// slowStartFile if that is missing: after a deliberate change of decisions a new one is needed.
func TestSlowStartIsReplayed(t *testing.T) {
	file := recordSlowStart(t)
	if summary, err := Play([]string{file}, Options{}); err != nil || summary.Steps != 600 || summary.Commands == 0 {
		t.Errorf("got %+v, %v", summary, err)
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

// recordSlowStart records 600 steps, during which one server after another restarts, into one segment and returns its file.
func recordSlowStart(t *testing.T) string {
	t.Helper()
	deployment := control.Deployment{Routers: 3, Tick: 4000, MaxAttempts: 3, MaxRetryAfter: 1_000_000, SupportsCancel: true,
		OverloadWindow: 200_000, OverloadFactor: 0.15, SlowStartInitial: 0.25, SlowStartDuration: 10_000_000,
		KeepAlive: 1_000_000, SupportsLoadCommands: true, LoadsOnMiss: true, Classes: []control.Class{{LatencyObjective: 300_000, MaxDeadline: 2_000_000},
			{LatencyObjective: 300_000, MaxDeadline: 2_000_000, Idempotency: control.NonIdempotent}}}
	generator := &trafficGenerator{now: 5_000_000, randomState: 1}
	generator.core = core.New(control.New(generator.now, 1, deployment), generator)
	dir := t.TempDir()
	w, err := record.Open(dir, record.Limits{SegmentBytes: 1 << 20, SegmentAge: time.Hour, TotalBytes: 1 << 30, BlockWhenFull: true},
		record.Header{Incarnation: "a"}, generator.core.Snapshot, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	generator.core.SetRecorder(w.Recorder())
	w.BeginSegment(generator.now)
	for i := range 600 {
		var endpoints []control.Endpoint
		if i%150 == 0 { // list servers 1 to 4, one of them restarted unless this is the first list
			for id := range control.ServerID(4) {
				endpoints = append(endpoints, control.Endpoint{Server: id + 1, State: control.Ready, Weight: 1})
			}
			if i > 0 {
				endpoints[i/150].StartedAt = generator.now
			}
		}
		generator.step(endpoints...)
	}
	w.Close()
	files, err := record.ListSegments(dir)
	if err != nil || len(files) != 1 {
		t.Fatalf("%d segments, %v", len(files), err)
	}
	return files[0]
}
