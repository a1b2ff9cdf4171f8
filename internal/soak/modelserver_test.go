package soak

import (
	"testing"
	"time"
)

// A server in slow start falls with the first request beyond what it bears. That breaks the rule if routers that were told of its start
// sent most, and not if they were not told.
func TestServerFalls(t *testing.T) {
	scenario := &Scenario{MeanExecutionTime: 50 * time.Millisecond, Cores: 2, SlowStartDuration: 10 * time.Second, SlowStartInitial: 0.25, OverloadWindow: time.Second,
		OverloadFactor: 4, Functions: 1, ServerIdleTimeout: time.Second}
	const bears = 82 // N = 4 x (0.25 + 0.75 x 0.2) x 40 = 64 at an age of 2 s, and 2 x 8 + 2 for random variation
	for told, wantBreaks := range map[bool]int{true: 1, false: 0} {
		lag := &lagMeter{}
		r := &run{scenario: scenario, ledger: newLedger(scenario, lag), lag: lag, random: newRandom(1, "test")}
		s := &modelServer{run: r, uid: "s-0", speed: 1, address: "127.0.0.1:0"}
		now := time.Now()
		if err := s.listen(now.Add(-2 * time.Second)); err != nil {
			t.Fatal(err)
		}
		if told {
			s.told = now.Add(-time.Second)
		}
		bound := int(bearable(scenario.startBudget(1, 2*time.Second)))
		if bound != bears {
			t.Fatalf("it bears %d, want %d", bound, bears)
		}
		request := &requestRecord{requestDraft: requestDraft{work: scenario.MeanExecutionTime}}
		for n := range bound {
			if s.judgeSlowStart(now, request); !s.up {
				t.Fatalf("it fell after %d of %d", n+1, bound)
			}
		}
		s.judgeSlowStart(now, request)
		if s.up || r.falls.Load() != 1 {
			t.Errorf("told %t: up %t, %d falls", told, s.up, r.falls.Load())
		}
		if len(r.ledger.breaks) != wantBreaks {
			t.Errorf("told %t: %v", told, r.ledger.breaks)
		}
		r.goes.Wait()
	}
}
