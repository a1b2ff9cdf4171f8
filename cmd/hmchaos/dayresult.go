package main

import (
	"fmt"
	"time"

	"hollymast/internal/chaostest"
	"hollymast/internal/invariant"
)

// printResult prints a table of the result, and what the check of each invariant found.
func printResult(r *chaostest.Result) {
	for _, row := range []struct {
		name  string
		count int
	}{
		{"jobs (tries of clients)", r.Requests},
		{"finished", r.Succeeded},
		{"pushed back", r.Rejected},
		{"killed", r.Failed},
		{"left by their clients", r.Abandoned},
		{"excused: their router was halted", r.UnansweredWhileDown},
		{"refused as wrong", r.NotAdmitted},
		{"repeats by a router", r.Retries},
	} {
		fmt.Printf("%-40s %8d\n", row.name, row.count)
	}
	fmt.Printf("%-40s %8.3f\n", "executions a job", perRequest(r.Attempts, r.Requests))
	if retries := r.RestartRetries; retries.Sent > 0 {
		fmt.Printf("non-idempotent requests sent again to their restarted router: %d, succeeded %d, rejected %d, failed %d\n", retries.Sent, retries.Succeeded, retries.Rejected, retries.Failed)
	}
	loads, maxBudgetUsed := 0, 0.0
	for _, s := range r.Seconds {
		loads += s.Loads
	}
	fmt.Printf("%-40s %8d\n", "loads", loads)
	for _, w := range r.SlowStart {
		maxBudgetUsed = max(maxBudgetUsed, w.BudgetUsed)
	}
	if maxBudgetUsed > 0 {
		fmt.Printf("%-40s %8.3f\n", "a cold server's worst window, of budget", maxBudgetUsed)
	}
	printRestarts(r)
	for _, rule := range r.Rules {
		printRule(rule)
	}
}

func printRestarts(r *chaostest.Result) {
	if len(r.Restarts) > 0 {
		fmt.Printf("load commands beyond the load-rate limit, if those before a restart count too: %d\n", r.ExcessLoadCommands)
	}
	for _, restart := range r.Restarts {
		fmt.Printf("router %d ready again at %s: in the next 10 s %.3f of %d calls in time, %d loads, %.3f attempts per request\n", restart.Router, restart.At.Round(time.Millisecond),
			restart.InTime, restart.Calls, restart.Loads, restart.AttemptsPerRequest)
	}
}

func printRule(rule *invariant.Rule) {
	finding := "kept"
	if rule.ViolationCount > 0 {
		finding = fmt.Sprintf("BROKEN %d times", rule.ViolationCount)
	}
	fmt.Printf("rule %d, %-32s %8d chances  %s\n", rule.Number, rule.Name, rule.CheckCount, finding)
	for _, v := range rule.Violations {
		fmt.Println("   ", v)
	}
}

// printFaultImpact prints how many calls of other tenants were in time while one tenant was noisy, and how soon a run recovered from
// an outage.
func printFaultImpact(r *chaostest.Result, faults []chaostest.Fault) {
	for _, f := range faults {
		switch {
		case f.Kind == chaostest.FaultNoisyTenant:
			during, otherwise := r.OtherTenantsInTime(f)
			fmt.Printf("other tenants: %.3f in time while one tenant is noisy, %.3f otherwise\n", during, otherwise)
		case f.Kind == chaostest.FaultStoreStopped, f.Kind == chaostest.FaultRouterKill && f.Target == chaostest.AllTargets:
			recovery := chaostest.MeasureRecovery(r.Seconds, f)
			recoveryTime := "not before the end of the run"
			if recovery.Recovered {
				recoveryTime = "after " + recovery.RecoveryTime.String()
			}
			fmt.Printf("calls idempotent by key: %.3f in time before the outage; within 5%% of that again %s\n", recovery.BaselineShare, recoveryTime)
		}
	}
}

// perRequest returns a count per request.
func perRequest(count, requests int) float64 { return float64(count) / float64(max(1, requests)) }
