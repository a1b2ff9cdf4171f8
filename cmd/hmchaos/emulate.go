package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"runtime"
	"slices"
	"time"

	"hollymast/internal/baseline"
	"hollymast/internal/chaostest"
	"hollymast/internal/program"
)

type emulateCmd struct {
	Script   string   `help:"Scenario (INI); default: the built-in one." type:"path"`
	Seeds    int      `default:"1" help:"Number of seeds to run, from --seed on."`
	Seed     uint64   `default:"1" help:"First seed."`
	Threads  int      `help:"Number of threads, which doesn't change the result; 0: all cores."`
	Arms     []string `default:"module" help:"Policies to compare: module (this build's balancer), random, least, two-choices, bounded-hash, first-miss. All run the same calls and faults."`
	Routers  int      `help:"Number of routers; 0: as in the script."`
	Workers  int      `help:"Number of workers; 0: as in the script."`
	Jobs     int      `help:"Number of calls, without retries; 0: as in the script."`
	Clients  int      `help:"Number of clients; 0: as in the script."`
	Manners  string   `enum:",good,bad,mixed" default:"" help:"How clients retry: good (with the client library), bad (almost immediately, without retry headers), mixed; default: as in the script, with good for usual."`
	Undamped bool     `help:"Turn off the routers' overload protection."`
	JSON     bool     `name:"json" help:"Print each result as JSON."`
}

// The arms that aren't baseline policies: this build's balancer, and the same without overload protection.
const (
	balancerArm = "module"
	undampedArm = "undamped"
)

var errInvalidCount = errors.New("counts must not be negative, and --seeds must be at least 1")

// Run runs the scenario with each arm and seed, prints the results and returns an error if this build's balancer violated an
// invariant. Violations by a baseline policy are only printed.
func (e emulateCmd) Run() error {
	text, err := readScript(e.Script)
	if err != nil {
		return err
	}
	if min(e.Routers, e.Workers, e.Jobs, e.Clients, e.Threads) < 0 || e.Seeds < 1 {
		return program.UsageError{Err: errInvalidCount}
	}
	if e.Threads == 0 {
		e.Threads = runtime.GOMAXPROCS(0)
	}
	violated := false
	inTime := map[string][]float64{} // by arm, of the seeds in order
	for _, arm := range e.Arms {
		if arm != balancerArm && !slices.Contains(baseline.PolicyNames, arm) {
			return program.UsageError{Err: fmt.Errorf("unknown arm %q", arm)}
		}
		for seed := e.Seed; seed < e.Seed+uint64(e.Seeds); seed++ {
			result, err := e.runAndPrint(text, arm, seed)
			if err != nil {
				return err
			}
			inTime[arm] = append(inTime[arm], result.InTime)
			violated = violated || arm == balancerArm && !result.Passed()
		}
	}
	e.printComparison(inTime)
	if violated {
		return errViolation
	}
	return nil
}

// runAndPrint runs the scenario once and prints the result.
func (e emulateCmd) runAndPrint(text []byte, arm string, seed uint64) (*chaostest.SimulationResult, error) {
	startedAt := time.Now()
	result, length, err := e.simulate(text, arm, seed)
	if err != nil {
		return nil, program.UsageError{Err: err}
	}
	took := time.Since(startedAt)
	if e.JSON {
		b, err := json.Marshal(result)
		if err != nil {
			return nil, err
		}
		fmt.Println(string(b))
	}
	fmt.Printf("%-12s seed %d: %s in_time=%.3f worth=%.3f jobs=%d pushed_back=%d killed=%d unanswered=%d executions=%.3f loads=%d cold_use=%.2f warm_use=%.2f hash=%016x  %.0f times real time, %d events\n",
		arm, seed, verdict(result.Passed()), result.InTime, result.WeightedInTime, result.Requests, result.Rejected, result.Failed, result.Unanswered,
		perRequest(result.Attempts, result.Requests), result.Loads, result.SlowStartUtilization, result.Utilization, result.Hash,
		length.Seconds()/took.Seconds(), result.Events)
	for _, rule := range result.Rules {
		if rule.ViolationCount > 0 {
			fmt.Printf("    rule %d, %s: BROKEN %d times, as %s\n", rule.Number, rule.Name, rule.ViolationCount, rule.Violations[0])
		}
	}
	return result, nil
}

// simulate runs the scenario once. It also returns the scenario's length.
func (e emulateCmd) simulate(text []byte, arm string, seed uint64) (*chaostest.SimulationResult, time.Duration, error) {
	s, err := chaostest.ParseScenario(e.Script, text)
	if err != nil {
		return nil, 0, err
	}
	s.Seed, s.OverloadProtection = seed, s.OverloadProtection && !e.Undamped
	o := overrides{calls: e.Jobs, routers: e.Routers, workers: e.Workers, clients: e.Clients, behavior: chaostest.ClientBehavior(e.Manners)}
	if err := o.apply(s); err != nil {
		return nil, 0, err
	}
	var newPolicy chaostest.PolicyFactory // nil: the balancer
	if arm != balancerArm {
		newPolicy = baseline.NewFactory(baseline.Policy(slices.Index(baseline.PolicyNames, arm)))
	}
	result, err := chaostest.Simulate(s, e.Threads, newPolicy)
	return result, s.Length, err
}

// printComparison compares the first arm with each other one over the same seeds. It prints the mean of the differences in the share
// of calls in time, and its standard error.
func (e emulateCmd) printComparison(inTime map[string][]float64) {
	for _, arm := range e.Arms[1:] {
		n, sum, squares := float64(e.Seeds), 0.0, 0.0
		for i, first := range inTime[e.Arms[0]] {
			d := first - inTime[arm][i]
			sum, squares = sum+d, squares+d*d
		}
		mean, standardError := sum/n, 0.0
		if n > 1 {
			standardError = math.Sqrt(max(0, squares-n*mean*mean) / (n - 1) / n)
		}
		fmt.Printf("in time, %s less %s: %+.3f, standard error %.3f, over %d seeds\n", e.Arms[0], arm, mean, standardError, e.Seeds)
	}
}
