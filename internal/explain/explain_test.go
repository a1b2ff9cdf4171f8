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

// recordDecisions records a router that receives a list of two servers, routes request 1, receives a list in which server 2 drains, and
// routes request 2.
func recordDecisions(t *testing.T) []string {
	t.Helper()
	deployment := control.Deployment{Routers: 1, Tick: 4000, MaxAttempts: 3, OverloadWindow: 1_000_000, KeepAlive: 1_000_000,
		LoadsOnMiss: true,
		Classes:     []control.Class{{LatencyObjective: 300_000, MaxDeadline: 2_000_000}}}
	now := control.Micros(5_000_000)
	c := core.New(control.New(now, 1, deployment), core.NoopExecutor{})
	dir := t.TempDir()
	w, err := record.Open(dir, record.Limits{SegmentBytes: 1 << 20, SegmentAge: time.Hour, TotalBytes: 1 << 30},
		record.Header{Incarnation: "a"}, c.Snapshot, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	c.SetRecorder(w.Recorder())
	w.BeginSegment(now)
	updateEndpoints := func(secondState control.ServerState) {
		c.UpdateEndpoints(now, control.FullUpdate, []control.Endpoint{{Server: 1, State: control.Ready, Weight: 1},
			{Server: 2, State: secondState, Weight: 1}})
	}
	add := func(id control.RequestID, f control.FunctionID) {
		c.Add(now, control.Request{ID: id, Function: f, Lanes: 1, ArrivedAt: now, Deadline: now + 2_000_000})
	}
	updateEndpoints(control.Ready)
	add(1, 7)
	c.Step(now)
	now += 1000
	updateEndpoints(control.Draining)
	c.Step(now)
	now += 1000
	add(2, 8)
	c.Step(now)
	w.Close()
	files, err := record.ListSegments(dir)
	if err != nil {
		t.Fatal(err)
	}
	return files
}

func TestRequestNamesReasonAndEndpointList(t *testing.T) {
	files := recordDecisions(t)
	for request, version := range map[control.RequestID]int{1: 1, 2: 2} {
		decisions, err := Request(files, Query{Request: request})
		if err != nil || len(decisions) != 1 {
			t.Fatalf("request %d: got %+v, %v", request, decisions, err)
		}
		decision := decisions[0]
		if decision.Endpoints.Version != version || decision.Explanation.Reason != "no replica is loaded or loading" ||
			decision.Explanation.Decision.Action != control.Forward || len(decision.Explanation.Servers) != 2 {
			t.Errorf("request %d: got %+v", request, decision)
		}
		if unusable := decision.Explanation.Servers[1].Unusable != ""; unusable != (request == 2) {
			t.Errorf("request %d: server 2 is unusable because %q", request, decision.Explanation.Servers[1].Unusable)
		}
		if text := decision.Text(); !strings.Contains(text, string(decision.Explanation.Reason)) || !strings.Contains(text, "server 2") {
			t.Errorf("got %s", text)
		}
		if again, err := Request(files, Query{Request: request}); err != nil || !reflect.DeepEqual(decisions, again) {
			t.Errorf("a second run explains it differently: %+v, %v", again, err)
		}
	}
	if _, err := Request(files, Query{Request: 3}); !errors.Is(err, ErrNoDecision) {
		t.Errorf("got %v", err)
	}
}

func TestRequestsNear(t *testing.T) {
	files := recordDecisions(t)
	for at, want := range map[control.Micros][]control.RequestID{5_000_000: {1}, 5_002_000: {2}, 9_000_000: nil} {
		if requests, err := RequestsNear(files, at, 500); err != nil || !reflect.DeepEqual(requests, want) {
			t.Errorf("at %d: got requests %v, %v", at, requests, err)
		}
	}
}

func TestWhatIf(t *testing.T) {
	files := recordDecisions(t)
	recorded, err := Request(files, Query{Request: 2}) // both servers are known by then
	if err != nil || recorded[0].Explanation.Decision.Server != 1 {
		t.Fatalf("as recorded: got %+v, %v", recorded, err)
	}
	for change, want := range map[string]control.Action{"drain=1": control.Hold, "slot=1": control.Forward,
		"no-report=1": control.Forward, "ready=2": control.Forward} {
		c, err := ParseChange(change)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Request(files, Query{Request: 2, WhatIf: &c})
		if err != nil || len(got) != 2 || got[0].WhatIf != "" || got[1].WhatIf != change || got[1].Explanation.Decision.Action != want {
			t.Errorf("%s: got %+v, %v", change, got, err)
		}
	}
	c := Change{ChangeDrain, 9}
	if _, err := Request(files, Query{Request: 2, WhatIf: &c}); err == nil {
		t.Error("a change to an unknown server was accepted")
	}
	for _, text := range []string{"", "drain", "drain=", "drain=xyz", "flood=1"} {
		if c, err := ParseChange(text); err == nil {
			t.Errorf("%q: got %+v", text, c)
		}
	}
}
