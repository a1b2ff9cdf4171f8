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
		tally, pace := NewCollector(0), &Scheduler{}
		addresses := []string{"a:1", "b:1", "c:1"}
		flying, sent, happened := map[string]int{}, Counts{}, Counts{}
		now, covered := control.Micros(0), control.Micros(0)
		pace.StreamOpened()
		pace.SetRequest(now, Request{AllClusters: true, Interval: 200_000})
		report := func(fails bool) {
			now = max(now, pace.NextAt())
			r := pace.NextReport(now, tally.Flush(now))
			if fails {
				pace.StreamClosed()
				pace.StreamOpened()
				pace.SetRequest(now, Request{AllClusters: true, Interval: 200_000})
				return
			}
			pace.ReportSent()
			if r.From != covered || r.To != now {
				t.Fatalf("covers %d to %d after %d", r.From, r.To, covered)
			}
			covered = r.To
			for _, l := range r.Endpoints {
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
				tally.AttemptBegan(a)
				flying[a]++
			case 2, 3:
				result := rapid.SampledFrom([]control.Result{control.Succeeded, control.Failed, control.ConnectionReset, control.Cancelled, control.NotSent}).Draw(t, "result")
				tally.AttemptEnded(a, result, nil)
				if flying[a] == 0 {
					continue
				}
				flying[a]--
				if result != control.NotSent {
					happened.Issued++
				}
				switch result {
				case control.Succeeded:
					happened.Succeeded++
				case control.Failed, control.ConnectionReset:
					happened.Failed++
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
	p := &Scheduler{}
	p.StreamOpened()
	if p.NextAt() != 0 {
		t.Error("due before anything was asked")
	}
	p.SetRequest(1000, Request{AllClusters: true, Interval: 1})
	if p.NextAt() != 1000+minInterval {
		t.Errorf("due at %d", p.NextAt())
	}
	p.NextReport(1000+minInterval+5, Report{})
	if p.NextAt() != 1000+2*minInterval {
		t.Errorf("the second is due at %d", p.NextAt())
	}
	p.NextReport(1000+7*minInterval+5, Report{})
	if p.NextAt() != 1000+8*minInterval {
		t.Errorf("after a stall due at %d", p.NextAt())
	}
	p.SetRequest(0, Request{AllClusters: true})
	if p.NextAt() != 0 {
		t.Error("due although nothing is asked any more")
	}
}

// What servers said of themselves is kept until they are forgotten; what they did not say counts as nothing in sums.
func TestFigures(t *testing.T) {
	tally := NewCollector(0)
	for _, r := range []control.LoadReport{{Utilization: 0.5, PendingLoads: 2, PinnedMemory: -1}, {Utilization: 0.7, PendingLoads: -1, PinnedMemory: 0.1}} {
		tally.AttemptBegan("a:1")
		tally.AttemptEnded("a:1", control.Succeeded, &r)
	}
	if r, ok := tally.LastReport("a:1"); !ok || r.Utilization != 0.7 {
		t.Errorf("%+v, %t", r, ok)
	}
	if l := tally.Flush(1).Endpoints[0]; l.LoadMetrics != (LoadMetrics{2, 1.2, 2, 0.1}) {
		t.Errorf("%+v", l.LoadMetrics)
	}
	tally.Prune(func(string) bool { return false })
	if _, ok := tally.LastReport("a:1"); ok {
		t.Error("a forgotten server still speaks")
	}
}

// Many nodes are summed, each by its latest report, and one too many is refused.
func TestGathered(t *testing.T) {
	g := NewAggregator(2)
	line := func(n uint64) Report {
		return Report{Endpoints: []EndpointStats{{Address: "a:1", InFlight: n, Counts: Counts{Issued: 10 * n}}}}
	}
	g.Update("x", line(9))
	g.Update("x", line(1))
	if !g.Update("y", line(2)) || g.Update("z", line(4)) {
		t.Error("the bound on nodes")
	}
	if lines, nodes := g.Sum(); nodes != 2 || len(lines) != 1 || lines[0].InFlight != 3 || lines[0].Issued != 30 {
		t.Errorf("%+v of %d", lines, nodes)
	}
	g.Remove("y")
	if lines, _ := g.Sum(); lines[0].InFlight != 1 {
		t.Errorf("%+v", lines)
	}
}

// The operators' endpoint of load reports writes these names: a renamed field keeps the name that it has there.
func TestEndpointStatsInJSON(t *testing.T) {
	b, err := json.Marshal(EndpointStats{"a:1", 2, Counts{3, 4, 5}, LoadMetrics{6, 0.5, 1.5, 0.25}})
	if err != nil {
		t.Fatal(err)
	}
	const want = `{"Address":"a:1","InFlight":2,"Issued":3,"Finished":4,"Errored":5,"Answers":6,"Util":0.5,"Loads":1.5,"Pinned":0.25}`
	if string(b) != want {
		t.Errorf("%s, want %s", b, want)
	}
}
