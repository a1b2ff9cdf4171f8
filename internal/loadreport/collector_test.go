package loadreport

import (
	"testing"

	"pgregory.net/rapid"

	"hollymast/control"
)

// The reports add up to the events that happened, whatever happens between reports and whichever of them can't be sent. Their periods
// have no gaps.
func TestEachEventIsReportedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		collector, scheduler := NewCollector(0), &Scheduler{}
		addresses := []string{"a:1", "b:1", "c:1"}
		inFlight, reported, expected := map[string]int{}, Counts{}, Counts{}
		now, coveredUntil := control.Micros(0), control.Micros(0)
		scheduler.StreamOpened()
		scheduler.SetRequest(now, Request{AllClusters: true, Interval: 200_000})
		report := func(fails bool) {
			now = max(now, scheduler.NextAt())
			r := scheduler.NextReport(now, collector.Flush(now))
			if fails {
				scheduler.StreamClosed()
				scheduler.StreamOpened()
				scheduler.SetRequest(now, Request{AllClusters: true, Interval: 200_000})
				return
			}
			scheduler.ReportSent()
			if r.From != coveredUntil || r.To != now {
				t.Fatalf("the report covers %d to %d, the one before ended at %d", r.From, r.To, coveredUntil)
			}
			coveredUntil = r.To
			for _, s := range r.Endpoints {
				reported.add(s.Counts)
				if s.InFlight != uint64(inFlight[s.Address]) {
					t.Fatalf("%s: %d in flight, reported %d", s.Address, inFlight[s.Address], s.InFlight)
				}
			}
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			address := rapid.SampledFrom(addresses).Draw(t, "address")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				collector.AttemptBegan(address)
				inFlight[address]++
			case 2, 3:
				result := rapid.SampledFrom([]control.Result{control.Succeeded, control.Failed, control.ConnectionReset, control.Cancelled, control.NotSent}).Draw(t, "result")
				collector.AttemptEnded(address, result, nil)
				if inFlight[address] == 0 {
					continue
				}
				inFlight[address]--
				if result != control.NotSent {
					expected.Issued++
				}
				switch result {
				case control.Succeeded:
					expected.Succeeded++
				case control.Failed, control.ConnectionReset:
					expected.Failed++
				}
			case 4:
				now += control.Micros(rapid.IntRange(0, 900_000).Draw(t, "time"))
				report(rapid.Bool().Draw(t, "fails"))
			}
		}
		for reported != expected {
			before := coveredUntil
			report(false)
			if before != coveredUntil && reported != expected {
				t.Fatalf("reported %+v, want %+v", reported, expected)
			}
		}
	})
}

// A server's last load report is available until the server is pruned. Values that it did not report add nothing to the sums.
func TestLoadMetrics(t *testing.T) {
	collector := NewCollector(0)
	for _, r := range []control.LoadReport{{Utilization: 0.5, PendingLoads: 2, PinnedMemory: -1}, {Utilization: 0.7, PendingLoads: -1, PinnedMemory: 0.1}} {
		collector.AttemptBegan("a:1")
		collector.AttemptEnded("a:1", control.Succeeded, &r)
	}
	if r, ok := collector.LastReport("a:1"); !ok || r.Utilization != 0.7 {
		t.Errorf("%+v, %t", r, ok)
	}
	if s := collector.Flush(1).Endpoints[0]; s.LoadMetrics != (LoadMetrics{2, 1.2, 2, 0.1}) {
		t.Errorf("%+v", s.LoadMetrics)
	}
	collector.Prune(func(string) bool { return false })
	if _, ok := collector.LastReport("a:1"); ok {
		t.Error("a pruned server still has a load report")
	}
}
