package chaostest

import (
	"math"
	"os"
	"testing"
	"time"

	"hollymast/internal/fakeserver"
	"hollymast/internal/invariant"
)

// A small simulated run has the same records, and so the same hash, on every machine and with any number of threads. The hash
// changes with every change in behavior of the balancer, the core, the model server or the clients: check the run then, and update
// the constant.
func TestSimulatedRun(t *testing.T) {
	text, err := os.ReadFile("../../days/short.ini")
	if err != nil {
		t.Fatal(err)
	}
	for _, threads := range []int{1, 4} {
		s, err := ParseScenario("short.ini", text)
		if err != nil {
			t.Fatal(err)
		}
		s.Seed = 1
		result, err := Simulate(s, threads, nil)
		if err != nil {
			t.Fatal(err)
		}
		const want = uint64(0xb8acf698d8ab47ad)
		if result.Hash != want || !result.Passed() {
			t.Errorf("%d threads: hash %#x, rules %+v", threads, result.Hash, result.Rules[0])
		}
		for _, rule := range []int{invariant.RuleDrain, invariant.RuleSlowStart, invariant.RuleLoadRate} {
			if result.Rules[rule].CheckCount == 0 {
				t.Errorf("%d threads: no opportunity to violate rule %d", threads, result.Rules[rule].Number)
			}
		}
	}
}

// Attempts on a server in slow start count against its capacity at its age, all others against the full rate.
func TestUtilization(t *testing.T) {
	h := &harness{scenario: &Scenario{Length: 10 * time.Second}, servers: make([]*fakeserver.Server, 2)}
	records := []invariant.Record{{At: 100, Kind: invariant.EndpointPublished}, {At: 100 + 2_000_000, Kind: invariant.ServerStarted, Server: 1}}
	for i := range 100 {
		records = append(records, invariant.Record{At: 100 + 3_000_000, Kind: invariant.AttemptStarted, Server: i % 2})
	}
	use := h.utilization(records) // 4 s from a quarter to all of 40 per second; 16 s at 40
	if math.Abs(use.slowStart-0.5) > 0.001 || math.Abs(use.fullCapacity-50.0/640) > 0.001 {
		t.Errorf("slow start %.4f, otherwise %.4f", use.slowStart, use.fullCapacity)
	}
}
