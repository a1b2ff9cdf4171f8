package core

import (
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"hollymast/control"
)

// out is an execution without an outcome.
type out struct {
	job    control.JobID
	no     control.ExecutionID
	server control.ServerID
}

// driven is a core with what its outlet was asked, and what is out.
type driven struct {
	*Core
	written
	sent []out
}

func (d *driven) Send(j *control.Job, no control.ExecutionID, to control.ServerID, allow control.Micros) {
	d.written.Send(j, no, to, allow)
	d.sent = append(d.sent, out{j.ID, no, to})
}

// traffic is random jobs and answers.
func traffic(t *rapid.T, now control.Micros, next *control.JobID, ds ...*driven) {
	for range rapid.IntRange(0, 4).Draw(t, "jobs") {
		*next++
		j := control.Job{ID: *next, Workload: control.WorkloadID(rapid.IntRange(0, 2).Draw(t, "workload")),
			Function: control.FunctionID(rapid.IntRange(1, 6).Draw(t, "function")), Lanes: 2, Arrived: now,
			Patience: now + control.Micros(rapid.IntRange(1, 3_000_000).Draw(t, "patience")), Repeat: rapid.Bool().Draw(t, "repeat")}
		for _, d := range ds {
			d.Arrived(now, j)
		}
	}
	for range rapid.IntRange(0, 4).Draw(t, "answers") {
		if len(ds[0].sent) == 0 {
			break
		}
		i := rapid.IntRange(0, len(ds[0].sent)-1).Draw(t, "which")
		x := ds[0].sent[i]
		o := control.Outcome{Execution: x.no, Server: x.server, Result: control.Result(rapid.IntRange(0, 8).Draw(t, "result")),
			Found: control.Found(rapid.IntRange(0, 4).Draw(t, "found")), Took: control.Micros(rapid.IntRange(1, 900_000).Draw(t, "took"))}
		o.JobOver = o.Result == control.Finished
		if rapid.Bool().Draw(t, "reported") {
			o.Report = &control.Report{Util: rapid.Float64Range(0, 1).Draw(t, "util"), Loads: 1}
		}
		for _, d := range ds {
			d.sent = slices.Delete(d.sent, i, i+1)
			d.Answered(now, x.job, o)
		}
	}
}

// step makes one turn of random news.
func step(t *rapid.T, now control.Micros, next *control.JobID, ds ...*driven) {
	traffic(t, now, next, ds...)
	switch rapid.IntRange(0, 9).Draw(t, "else") {
	case 0:
		id := control.JobID(rapid.Uint64Range(0, uint64(*next)).Draw(t, "left"))
		for _, d := range ds {
			d.Left(now, id)
		}
	case 1:
		list := make([]control.Listing, rapid.IntRange(1, 5).Draw(t, "servers"))
		for i := range list {
			list[i] = control.Listing{Server: control.ServerID(i + 1), State: control.ServerState(rapid.IntRange(1, 2).Draw(t, "state")), Power: 1,
				Zone: control.ZoneID(i % 2), Born: control.Micros(rapid.Int64Range(0, int64(now)).Draw(t, "born"))}
		}
		for _, d := range ds {
			d.Listed(now, control.ListWhole, list)
		}
	case 2:
		s, copies := control.ServerID(rapid.IntRange(1, 5).Draw(t, "server")), rapid.IntRange(0, 3).Draw(t, "copies")
		for _, d := range ds {
			d.Loaded(now, s, 1, control.Finished, 1000, copies)
		}
	}
	for _, d := range ds {
		d.Turn(now)
	}
}

// anyDeployment is one of two routers, with each kind of effect.
func anyDeployment(t *rapid.T) control.Deployment {
	return control.Deployment{Routers: 2, Tick: 4000, MaxExecutions: 3, MaxStayAway: 1_000_000, Cancels: true, ColdFrom: 0.25,
		Cold: 2_000_000, Fall: 500_000, FallMultiple: 2, KeepAlive: 1_000_000, Orders: true, LoadWindow: 1_000_000, LoadFree: 3, LoadShare: 0.2,
		LoadsOnMiss: rapid.Bool().Draw(t, "on miss"), Shares: []float64{3}, Workloads: []control.Workload{
			{StartTarget: 300_000, TimeLimit: 3_000_000}, {StartTarget: 300_000, TimeLimit: 3_000_000, Effect: control.RunOnce},
			{StartTarget: 300_000, TimeLimit: 3_000_000, Effect: control.Fingerprinted, Scope: control.OneZone, Window: 1_000_000}}}
}

// Any reachable state, restored, decides the same from there on.
func TestSnapshotGoesOnAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		told := anyDeployment(t)
		now, next := control.Micros(10_000_000), control.JobID(0)
		a := &driven{}
		a.Core = New(control.Start(now, 7, told), a)
		a.Listed(now, control.ListWhole, []control.Listing{{Server: 1, State: control.Ready, Power: 1}, {Server: 2, State: control.Ready, Power: 2}})
		for range rapid.IntRange(1, 60).Draw(t, "before") {
			now += control.Micros(rapid.IntRange(1, 300_000).Draw(t, "pause"))
			step(t, now, &next, a)
		}
		s, err := a.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		b := &driven{sent: slices.Clone(a.sent)}
		if b.Core, err = Restore(s, b); err != nil {
			t.Fatal(err)
		}
		a.taken()
		for turn := range 1000 {
			now += control.Micros(1 + uint64(turn)*7919%200_000)
			if turn < 100 {
				step(t, now, &next, a, b)
			} else {
				a.Turn(now)
				b.Turn(now)
			}
			if x, y := a.taken(), b.taken(); !slices.Equal(x, y) {
				t.Fatalf("turn %d after it: %q, restored %q", turn, x, y)
			}
		}
		x, _ := a.Snapshot()
		if y, _ := b.Snapshot(); !reflect.DeepEqual(x, y) {
			t.Fatalf("states differ at the end: %+v, %+v", x, y)
		}
	})
}

func TestRestoreRefusesWhatDoesNotHoldTogether(t *testing.T) {
	for name, s := range map[string]*Snapshot{
		"no module":     {},
		"held":          {Held: []control.JobID{1}, Module: &control.Snapshot{}},
		"tables":        {Module: &control.Snapshot{Due: []control.Micros{1}}},
		"flight":        {Module: &control.Snapshot{Servers: []control.ServerSnapshot{{Flights: []control.FlightSnapshot{{Job: 1}}}}}},
		"order":         {Module: &control.Snapshot{Servers: make([]control.ServerSnapshot, 2)}},
		"instance":      {Module: &control.Snapshot{Functions: []control.FunctionSnapshot{{Instances: make([]control.InstanceSnapshot, 1)}}}},
		"last function": {Module: &control.Snapshot{Recent: []int{0}}},
	} {
		if _, err := Restore(s, &written{}); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}
