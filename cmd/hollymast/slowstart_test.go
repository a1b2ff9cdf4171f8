package main

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"hollymast/internal/soak"
)

// soakOptions returns options with which a soak run starts this test program, or the binary of routerBinaryEnv, as its routers.
func soakOptions(t *testing.T) soak.Options {
	t.Helper()
	if built := os.Getenv(routerBinaryEnv); built != "" {
		return soak.Options{RouterPath: built, RouterLogLevel: "info", Dir: t.TempDir()}
	}
	return soak.Options{RouterPath: os.Args[0], Dir: t.TempDir(), Env: []string{routerArgsEnv + "=platform"}}
}

// TestSlowStartWhileOthersDrain guards against overloading servers in slow start (report c39787). Two servers return from a restart while
// all others drain, so they are the only ready ones and all requests are held for them. They must not get more than their budget.
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
					t.Error("no request was served")
				}
			})
		}
	}
}

// returnWhileOthersDrain returns a scenario in which two of twelve servers are restarted and the other ten drain for some seconds, starting
// shortly before the two return.
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
