package soak

import (
	"testing"
	"time"
)

// A server in slow start collapses at the first request beyond what it tolerates. That is a violation if the server's start had been
// announced before most of the requests arrived, and none if it had not.
func TestServerCollapsesInSlowStart(t *testing.T) {
	scenario := &Scenario{MeanExecutionTime: 50 * time.Millisecond, Cores: 2, SlowStartDuration: 10 * time.Second, SlowStartInitial: 0.25,
		OverloadWindow: time.Second, OverloadFactor: 4, Functions: 1, ServerIdleTimeout: time.Second}
	const wantTolerated = 82 // budget N = 4 x (0.25 + 0.75 x 0.2) x 40 = 64 at an age of 2 s, plus 2 x sqrt(N) + 2 = 18 for random variation
	for announced, wantViolations := range map[bool]int{true: 1, false: 0} {
		lag := &lagMeter{}
		r := &run{scenario: scenario, ledger: newLedger(scenario, lag), lag: lag, random: newRandom(1, "test")}
		s := &modelServer{run: r, uid: "s-0", speed: 1, address: "127.0.0.1:0"}
		now := time.Now()
		if err := s.listen(now.Add(-2 * time.Second)); err != nil {
			t.Fatal(err)
		}
		if announced {
			s.announcedAt = now.Add(-time.Second)
		}
		tolerated := int(toleratedRequests(scenario.slowStartBudget(1, 2*time.Second)))
		if tolerated != wantTolerated {
			t.Fatalf("it tolerates %d requests, want %d", tolerated, wantTolerated)
		}
		request := &requestRecord{requestParams: requestParams{work: scenario.MeanExecutionTime}}
		for n := range tolerated {
			if s.checkSlowStart(now, request); !s.up {
				t.Fatalf("it collapsed after %d of %d requests", n+1, tolerated)
			}
		}
		s.checkSlowStart(now, request)
		if s.up || r.collapses.Load() != 1 {
			t.Errorf("announced %t: up %t, %d collapses", announced, s.up, r.collapses.Load())
		}
		if len(r.ledger.violations) != wantViolations {
			t.Errorf("announced %t: %v", announced, r.ledger.violations)
		}
		r.goroutines.Wait()
	}
}
