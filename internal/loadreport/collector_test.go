package loadreport

import (
	"testing"

	"pgregory.net/rapid"

	"hollymast/control"
)

// Whatever happens between them, and whichever of them can't be sent, reports add up to what happened.
func TestEachEventIsReportedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		collector, scheduler := NewCollector(0), &Scheduler{}
		addresses := []string{"a:1", "b:1", "c:1"}
		inFlight, sent, happened := map[string]int{}, Counts{}, Counts{}
		now, covered := control.Micros(0), control.Micros(0)
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
			if r.From != covered || r.To != now {
				t.Fatalf("covers %d to %d after %d", r.From, r.To, covered)
			}
			covered = r.To
			for _, s := range r.Endpoints {
				sent.add(s.Counts)
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
				t.Fatalf("reported %+v, happened %+v", sent, happened)
			}
		}
	})
}

// The last load report of a server is known until it is pruned; figures that it did not report add nothing to sums.
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
		t.Error("a pruned server still has a report")
	}
}
