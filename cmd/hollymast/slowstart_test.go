package main

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"hollymast/internal/soak"
)

// soakOptions has a soak run this test program as its routers.
func soakOptions(t *testing.T) soak.Options {
	t.Helper()
	if built := os.Getenv(routerBinaryEnv); built != "" {
		return soak.Options{RouterPath: built, RouterLogLevel: "info", Dir: t.TempDir()}
	}
	return soak.Options{RouterPath: os.Args[0], Dir: t.TempDir(), Env: []string{routerArgsEnv + "=platform"}}
}

// TestSlowStartWhileOthersDrain is report c39787: two servers return from a restart, in slow start, while all others drain, and
// are the only ready ones. All that clients ask for is then held for them; they must still get no more than their budget.
func TestSlowStartWhileOthersDrain(t *testing.T) {
	for _, routers := range []int{1, 3} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("routers=%d seed=%d", routers, seed), func(t *testing.T) {
				t.Parallel()
				result, err := soak.Run(context.Background(), returnWhileOthersDrain(routers, seed), soakOptions(t))
				if err != nil {
					t.Fatal(err)
				}
				t.Log(result)
				for _, broken := range result.Violations {
					t.Error(broken)
				}
				if result.Served == 0 {
					t.Error("nothing was served")
				}
			})
		}
	}
}

// returnWhileOthersDrain returns the scenario: two of twelve servers are restarted, and shortly before their return the ten others
// drain for some seconds.
func returnWhileOthersDrain(routers int, seed uint64) *soak.Scenario {
	return &soak.Scenario{
		Seed: seed, TrafficDuration: 13 * time.Second, Routers: routers, Servers: 12, Zones: 1, Functions: 30, MeanLoadTime: 200 * time.Millisecond,
		MeanExecutionTime: 50 * time.Millisecond, Cores: 2, SlowSpeed: 1, MaxLoadedFunctions: 10, TargetUtilization: 0.5, ExecutionTimeSigma: 0.4, ServerIdleTimeout: 15 * time.Second,
		Classes:    []soak.Class{{Name: "again", Semantics: soak.Idempotent, Objective: time.Second, Deadline: 4 * time.Second, Share: 1}},
		DrainGrace: 500 * time.Millisecond, SlowStartDuration: 12 * time.Second, SlowStartInitial: 0.3, OverloadWindow: time.Second, OverloadFactor: 4,
		Faults: []soak.Fault{
			{At: 3 * time.Second, Kind: soak.RollServers, Count: 2},
			{At: 8200 * time.Millisecond, Kind: soak.DrainAll, Duration: 3500 * time.Millisecond},
		},
	}
}
