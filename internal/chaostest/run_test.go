package chaostest

import (
	"context"
	"strings"
	"testing"
	"time"

	"hollymast/internal/invariant"
)

// Misconfigured routers violate every invariant from RuleEffects on, and the check must find violations of each. No configuration
// violates RuleResponses; see the tests of package invariant.
func TestMisconfiguredRoutersViolateInvariants(t *testing.T) {
	s := &Scenario{Seed: 1, Calls: 2400, Length: 6 * time.Second, Routers: 2, Workers: 4, Functions: 5, LimitLoadRate: true, LoadCommandsOnly: true,
		configOverrides: []string{"effect = run-once", "effect = restartable", "cold = 4s", "cold = 1ms", "start_target = 400ms", "start_target = 3s", "start_target = 300ms", "start_target = 3s",
			"load_free = 6", "load_free = 600", "grace = 500ms", "grace = 10s",
			"[workload forecast]", "[bounds]\nlist_every = 2s\n[workload forecast]"},
		Faults: []Fault{{Kind: FaultResetAfter, At: time.Second, Duration: time.Second, Target: 0, Share: 0.5},
			{Kind: FaultDeploy, At: 500 * time.Millisecond, Duration: 1500 * time.Millisecond, Target: 1},
			{Kind: FaultCrash, At: 2500 * time.Millisecond, Duration: 300 * time.Millisecond, Target: AllTargets},
			{Kind: FaultCrash, At: 4200 * time.Millisecond, Duration: 300 * time.Millisecond, Target: AllTargets}}}
	result, err := Run(context.Background(), s, buildProgram(t, "hollymast"))
	if result == nil {
		t.Fatal(err)
	}
	for _, r := range result.Rules {
		t.Logf("rule %d: %d opportunities, violated %d times", r.Number, r.CheckCount, r.ViolationCount)
	}
	for _, r := range result.Rules[invariant.RuleEffects:] {
		if r.ViolationCount == 0 {
			t.Errorf("rule %d, %s: %d opportunities, no violation found", r.Number, r.Name, r.CheckCount)
		}
	}
}

// When clients repeat non-idempotent requests after a router was killed, routers without persisted state run some of them twice,
// which the check must find, and routers with persisted state run none twice. How many requests run at the time of the kill depends
// on the machine, so the test tries further seeds until one shows the case.
func TestNonIdempotentRequestsAcrossAKill(t *testing.T) {
	const runs = 8 // on a busy machine about one in five runs without persisted state runs no request twice
	program := buildProgram(t, "hollymast")
	run := func(seed uint64, overrides ...string) (violations, repeated int) {
		s := &Scenario{Seed: seed, Calls: 900, Length: 5 * time.Second, Routers: 2, Workers: 6, Functions: 4, RouterState: StateComplete, configOverrides: overrides,
			Faults: []Fault{{Kind: FaultProgressiveSlowdown, At: 500 * time.Millisecond, Duration: 3 * time.Second, Target: AllTargets, Factor: 6},
				{Kind: FaultRouterKill, At: 2 * time.Second, Duration: 100 * time.Millisecond, Target: 0},
				{Kind: FaultRouterKill, At: 3 * time.Second, Duration: 100 * time.Millisecond, Target: 1}}}
		result, err := Run(context.Background(), s, program)
		if result == nil {
			t.Fatal(err)
		}
		return result.Rules[invariant.RuleEffects].ViolationCount, result.RestartRetries.Sent
	}
	repeated := 0
	for seed := uint64(2); seed < 2+runs && repeated == 0; seed++ {
		violations, n := run(seed)
		if repeated += n; violations > 0 {
			t.Errorf("seed %d, with persisted state: %d requests repeated, %d violations", seed, n, violations)
		}
	}
	violations := 0
	for seed := uint64(2); seed < 2+runs && violations == 0; seed++ {
		violations, _ = run(seed, "[memory]\nfolder", "[memory]\n; folder")
	}
	if repeated == 0 || violations == 0 {
		t.Errorf("with persisted state %d requests were repeated; without, none was run twice in %d runs", repeated, runs)
	}
}

func TestCancelledRunEndsAtOnce(t *testing.T) {
	program := buildProgram(t, "hollymast")
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	startedAt := time.Now()
	_, err := Run(ctx, &Scenario{Seed: 1, Calls: 100000, Length: time.Minute, Routers: 1, Workers: 2, Functions: 5}, program)
	if err == nil || time.Since(startedAt) > 5*time.Second {
		t.Errorf("a cancelled run returned %v after %s", err, time.Since(startedAt))
	}
}

// A scenario that one machine can't run is rejected before anything is started.
func TestTooLargeScenarioIsRefused(t *testing.T) {
	if _, err := Run(context.Background(), &Scenario{Routers: maxRouters + 1, Workers: 1, Length: time.Second}, "/none"); err == nil || !strings.Contains(err.Error(), "emulate") {
		t.Errorf("a scenario with too many routers: got %v", err)
	}
}
