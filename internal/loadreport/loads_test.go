package loadreport

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"hollymast/control"
)

// Whatever happens between them, and whichever reports can't be sent, what reports tell together is what happened, once.
func TestReportsTellAllOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tally, pace := NewTally(0), &Pace{}
		addresses := []string{"a:1", "b:1", "c:1"}
		flying, sent, happened := map[string]int{}, Counts{}, Counts{}
		now, covered := control.Micros(0), control.Micros(0)
		pace.Connected()
		pace.Ask(now, Asked{All: true, Every: 200_000})
		report := func(fails bool) {
			now = max(now, pace.Due())
			r := pace.Next(now, tally.Take(now))
			if fails {
				pace.Broken()
				pace.Connected()
				pace.Ask(now, Asked{All: true, Every: 200_000})
				return
			}
			pace.Sent()
			if r.From != covered || r.To != now {
				t.Fatalf("covers %d to %d after %d", r.From, r.To, covered)
			}
			covered = r.To
			for _, l := range r.Lines {
				sent.add(l.Counts)
				if l.InFlight != uint64(flying[l.Address]) {
					t.Fatalf("%s: %d in flight, told %d", l.Address, flying[l.Address], l.InFlight)
				}
			}
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			a := rapid.SampledFrom(addresses).Draw(t, "address")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				tally.Chosen(a)
				flying[a]++
			case 2, 3:
				result := rapid.SampledFrom([]control.Result{control.Succeeded, control.Failed, control.ConnectionReset, control.Cancelled, control.NotSent}).Draw(t, "result")
				tally.Ended(a, result, nil)
				if flying[a] == 0 {
					continue
				}
				flying[a]--
				if result != control.NotSent {
					happened.Issued++
				}
				switch result {
				case control.Succeeded:
					happened.Finished++
				case control.Failed, control.ConnectionReset:
					happened.Errored++
				}
			case 4:
				now += control.Micros(rapid.IntRange(0, 900_000).Draw(t, "time"))
				report(rapid.Bool().Draw(t, "fails"))
			}
		}
		for sent != happened {
			before := covered
			report(false)
			if before != covered && sent != happened {
				t.Fatalf("told %+v, happened %+v", sent, happened)
			}
		}
	})
}

// A report is due a whole time after it was asked for, then at steady times; a stall is not made up for; absurd times are
// brought within bounds, and nothing is due where nothing is asked.
func TestPace(t *testing.T) {
	p := &Pace{}
	p.Connected()
	if p.Due() != 0 {
		t.Error("due before anything was asked")
	}
	p.Ask(1000, Asked{All: true, Every: 1})
	if p.Due() != 1000+least {
		t.Errorf("due at %d", p.Due())
	}
	p.Next(1000+least+5, Report{})
	if p.Due() != 1000+2*least {
		t.Errorf("the second is due at %d", p.Due())
	}
	p.Next(1000+7*least+5, Report{})
	if p.Due() != 1000+8*least {
		t.Errorf("after a stall due at %d", p.Due())
	}
	p.Ask(0, Asked{All: true})
	if p.Due() != 0 {
		t.Error("due although nothing is asked any more")
	}
}

// What servers said of themselves is kept until they are forgotten; what they did not say counts as nothing in sums.
func TestFigures(t *testing.T) {
	tally := NewTally(0)
	for _, r := range []control.LoadReport{{Utilization: 0.5, PendingLoads: 2, PinnedMemory: -1}, {Utilization: 0.7, PendingLoads: -1, PinnedMemory: 0.1}} {
		tally.Chosen("a:1")
		tally.Ended("a:1", control.Succeeded, &r)
	}
	if r, ok := tally.Said("a:1"); !ok || r.Utilization != 0.7 {
		t.Errorf("%+v, %t", r, ok)
	}
	if l := tally.Take(1).Lines[0]; l.Figures != (Figures{2, 1.2, 2, 0.1}) {
		t.Errorf("%+v", l.Figures)
	}
	tally.Forget(func(string) bool { return false })
	if _, ok := tally.Said("a:1"); ok {
		t.Error("a forgotten server still speaks")
	}
}

// Many nodes are summed, each by its latest report, and one too many is refused.
func TestGathered(t *testing.T) {
	g := NewGathered(2)
	line := func(n uint64) Report {
		return Report{Lines: []Line{{Address: "a:1", InFlight: n, Counts: Counts{Issued: 10 * n}}}}
	}
	g.Heard("x", line(9))
	g.Heard("x", line(1))
	if !g.Heard("y", line(2)) || g.Heard("z", line(4)) {
		t.Error("the bound on nodes")
	}
	if lines, nodes := g.Sum(); nodes != 2 || len(lines) != 1 || lines[0].InFlight != 3 || lines[0].Issued != 30 {
		t.Errorf("%+v of %d", lines, nodes)
	}
	g.Left("y")
	if lines, _ := g.Sum(); lines[0].InFlight != 1 {
		t.Errorf("%+v", lines)
	}
}

// The operators' endpoint of load reports writes these names: a renamed field keeps the name that it has there.
func TestEndpointStatsInJSON(t *testing.T) {
	b, err := json.Marshal(Line{"a:1", 2, Counts{3, 4, 5}, Figures{6, 0.5, 1.5, 0.25}})
	if err != nil {
		t.Fatal(err)
	}
	const want = `{"Address":"a:1","InFlight":2,"Issued":3,"Finished":4,"Errored":5,"Answers":6,"Util":0.5,"Loads":1.5,"Pinned":0.25}`
	if string(b) != want {
		t.Errorf("%s, want %s", b, want)
	}
}
