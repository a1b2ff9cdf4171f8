package explain

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"hollymast/control"
	"hollymast/internal/core"
	"hollymast/internal/record"
)

// recorded is a router that hears a list of two servers, places job 1, hears that server 2 drains, and places job 2.
func recorded(t *testing.T) []string {
	t.Helper()
	told := control.Deployment{Routers: 1, Tick: 4000, MaxAttempts: 3, OverloadWindow: 1_000_000, KeepAlive: 1_000_000, LoadsOnMiss: true,
		Classes: []control.Class{{LatencyObjective: 300_000, MaxDeadline: 2_000_000}}}
	now := control.Micros(5_000_000)
	c := core.New(control.New(now, 1, told), core.NoopExecutor{})
	dir := t.TempDir()
	w, err := record.Open(dir, record.Bounds{Segment: 1 << 20, Age: time.Hour, Total: 1 << 30}, record.Header{Life: "a"}, c.Snapshot, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	c.SetRecorder(w.Tape())
	w.Begin(now)
	list := func(second control.ServerState) {
		c.UpdateEndpoints(now, control.FullUpdate, []control.Endpoint{{Server: 1, State: control.Ready, Weight: 1}, {Server: 2, State: second, Weight: 1}})
	}
	job := func(id control.RequestID, f control.FunctionID) {
		c.Add(now, control.Request{ID: id, Function: f, Lanes: 1, ArrivedAt: now, Deadline: now + 2_000_000})
	}
	list(control.Ready)
	job(1, 7)
	c.Step(now)
	now += 1000
	list(control.Draining)
	c.Step(now)
	now += 1000
	job(2, 8)
	c.Step(now)
	w.Close()
	files, err := record.Segments(dir)
	if err != nil {
		t.Fatal(err)
	}
	return files
}

func TestJobTellsWhyAndOnWhichList(t *testing.T) {
	files := recorded(t)
	for job, version := range map[control.RequestID]int{1: 1, 2: 2} {
		first, err := Job(files, Question{Job: job})
		if err != nil || len(first) != 1 {
			t.Fatalf("job %d: %+v, %v", job, first, err)
		}
		a := first[0]
		if a.List.Version != version || a.Why.Reason != "no copy stands or comes" || a.Why.Decision.Action != control.Forward || len(a.Why.Servers) != 2 {
			t.Errorf("job %d: %+v", job, a)
		}
		if barred := a.Why.Servers[1].Unusable != ""; barred != (job == 2) {
			t.Errorf("job %d: server 2 is %q", job, a.Why.Servers[1].Unusable)
		}
		if text := a.Text(); !strings.Contains(text, a.Why.Reason) || !strings.Contains(text, "server 2") {
			t.Errorf("got %s", text)
		}
		if again, err := Job(files, Question{Job: job}); err != nil || !reflect.DeepEqual(first, again) {
			t.Errorf("another run tells otherwise: %+v, %v", again, err)
		}
	}
	if _, err := Job(files, Question{Job: 3}); !errors.Is(err, ErrNoDecision) {
		t.Errorf("got %v", err)
	}
}

func TestNear(t *testing.T) {
	files := recorded(t)
	for at, want := range map[control.Micros][]control.RequestID{5_000_000: {1}, 5_002_000: {2}, 9_000_000: nil} {
		if jobs, err := Near(files, at, 500); err != nil || !reflect.DeepEqual(jobs, want) {
			t.Errorf("at %d: %v, %v", at, jobs, err)
		}
	}
}

func TestWhatIf(t *testing.T) {
	files := recorded(t)
	plain, err := Job(files, Question{Job: 2}) // by then both servers are known
	if err != nil || plain[0].Why.Decision.Server != 1 {
		t.Fatalf("%+v, %v", plain, err)
	}
	for change, want := range map[string]control.Action{"drain=1": control.Hold, "slot=1": control.Forward, "no-report=1": control.Forward, "ready=2": control.Forward} {
		c, err := ReadChange(change)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Job(files, Question{Job: 2, If: &c})
		if err != nil || len(got) != 2 || got[0].If != "" || got[1].If != change || got[1].Why.Decision.Action != want {
			t.Errorf("%s: %+v, %v", change, got, err)
		}
	}
	c := Change{"drain", 9}
	if _, err := Job(files, Question{Job: 2, If: &c}); err == nil {
		t.Error("a server that nobody knows was drained")
	}
	for _, text := range []string{"", "drain", "drain=", "drain=xyz", "flood=1"} {
		if c, err := ReadChange(text); err == nil {
			t.Errorf("%q: got %+v", text, c)
		}
	}
}
