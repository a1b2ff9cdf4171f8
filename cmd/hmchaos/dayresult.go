package main

import (
	"fmt"
	"time"

	"hollymast/internal/chaostest"
	"hollymast/internal/invariant"
)

// printResult prints a table of the result and what was found on each rule.
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
		{"excused: their router was halted", r.Excused},
		{"refused as wrong", r.NotAdmitted},
		{"repeats by a router", r.Retries},
	} {
		fmt.Printf("%-40s %8d\n", row.name, row.count)
	}
	fmt.Printf("%-40s %8.3f\n", "executions a job", perRequest(r.Attempts, r.Requests))
	if again := r.RestartRetries; again.Sent > 0 {
		fmt.Printf("run-once jobs asked again of their restarted router: %d, finished %d, pushed back %d, killed %d\n", again.Sent, again.Succeeded, again.Rejected, again.Failed)
	}
	loads, worst := 0, 0.0
	for _, s := range r.Seconds {
		loads += s.Loads
	}
	fmt.Printf("%-40s %8d\n", "loads", loads)
	for _, w := range r.SlowStart {
		worst = max(worst, w.BudgetUsed)
	}
	if worst > 0 {
		fmt.Printf("%-40s %8.3f\n", "a cold server's worst window, of budget", worst)
	}
	printRestarts(r)
	for _, rule := range r.Rules {
		printRule(rule)
	}
}

func printRestarts(r *chaostest.Result) {
	if len(r.Restarts) > 0 {
		fmt.Printf("orders over the ration, if those before a restart count: %d\n", r.ExcessLoadCommands)
	}
	for _, restart := range r.Restarts {
		fmt.Printf("router %d back at %s: in the next 10 s in time %.3f of %d, loads %d, executions a job %.3f\n", restart.Router, restart.At.Round(time.Millisecond),
			restart.InTime, restart.Calls, restart.Loads, restart.AttemptsPerRequest)
	}
}

func printRule(rule *invariant.Rule) {
	finding := "kept"
	if rule.ViolationCount > 0 {
		finding = fmt.Sprintf("BROKEN %d times", rule.ViolationCount)
	}
	fmt.Printf("rule %d, %-32s %8d chances  %s\n", rule.Number, rule.Name, rule.Opportunities, finding)
	for _, v := range rule.Violations {
		fmt.Println("   ", v)
	}
}

// printFaults prints how other tenants fared beside a noisy one, and how soon a run recovered from an outage.
func printFaults(r *chaostest.Result, faults []chaostest.Fault) {
	for _, f := range faults {
		switch {
		case f.Kind == chaostest.FaultNoisyTenant:
			during, otherwise := r.OtherTenantsInTime(f)
			fmt.Printf("calm tenants in time %.3f while one storms, %.3f otherwise\n", during, otherwise)
		case f.Kind == chaostest.FaultStoreStopped, f.Kind == chaostest.FaultRouterKill && f.Target == chaostest.AllTargets:
			recovery := chaostest.MeasureRecovery(r.Seconds, f)
			again := "not before the day's end"
			if recovery.Recovered {
				again = "after " + recovery.RecoveryTime.String()
			}
			fmt.Printf("fingerprinted work in time before the outage %.3f; within 5%% of that again %s\n", recovery.BaselineShare, again)
		}
	}
}

// perRequest gives a count per request.
func perRequest(count, requests int) float64 { return float64(count) / float64(max(1, requests)) }
