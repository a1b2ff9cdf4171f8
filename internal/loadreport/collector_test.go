package loadreport

import (
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
