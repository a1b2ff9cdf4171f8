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
		return soak.Options{Router: built, RouterLog: "info", Dir: t.TempDir()}
	}
	return soak.Options{Router: os.Args[0], Dir: t.TempDir(), Env: []string{routerArgsEnv + "=platform"}}
}

// TestSlowStartWhileOthersDrain guards against overloading servers in slow start (report c39787). Two servers return from a restart while
// all others drain, so they are the only ready ones and all requests are held for them. They must not get more than their budget.
func TestSlowStartWhileOthersDrain(t *testing.T) {
	for _, routers := range []int{1, 3} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("routers=%d seed=%d", routers, seed), func(t *testing.T) {
				t.Parallel()
				result, err := soak.Play(context.Background(), returnWhileOthersDrain(routers, seed), soakOptions(t))
				if err != nil {
					t.Fatal(err)
				}
				t.Log(result)
				for _, broken := range result.Breaks {
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
		Seed: seed, Length: 13 * time.Second, Routers: routers, Servers: 12, Zones: 1, Functions: 30, Load: 200 * time.Millisecond,
		Mean: 50 * time.Millisecond, Cores: 2, SlowSpeed: 1, Capacity: 10, Use: 0.5, WorkSpread: 0.4, ServerIdle: 15 * time.Second,
		Classes: []soak.Class{{Name: "again", Semantics: soak.Idempotent, Objective: time.Second, Deadline: 4 * time.Second, Share: 1}},
		Grace:   500 * time.Millisecond, SlowStart: 12 * time.Second, SlowStartFrom: 0.3, OverloadWindow: time.Second, OverloadFactor: 4,
		Faults: []soak.Fault{
			{At: 3 * time.Second, Kind: soak.RollServers, Count: 2},
			{At: 8200 * time.Millisecond, Kind: soak.DrainAll, For: 3500 * time.Millisecond},
		},
	}
}
