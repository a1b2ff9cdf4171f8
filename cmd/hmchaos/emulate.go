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
	Script   string   `help:"Script of the day (INI); without, the built-in bad day." type:"path"`
	Seeds    int      `default:"1" help:"Days, of seeds from --seed on."`
	Seed     uint64   `default:"1" help:"The first seed."`
	Threads  int      `help:"Threads; 0: all cores. The result is the same."`
	Arms     []string `default:"module" help:"Whose decisions: module, or of random, least, two-choices, bounded-hash and first-miss. Each arm plays the same calls and troubles."`
	Routers  int      `help:"Routers; 0: as the script says."`
	Workers  int      `help:"Workers; 0: as the script says."`
	Jobs     int      `help:"Jobs; 0: as the script says."`
	Clients  int      `help:"Clients; 0: as the script says."`
	Manners  string   `enum:",good,bad,mixed" default:"" help:"How clients behave; without, as the script says, and good where that says usual."`
	Undamped bool     `help:"Routers don't damp storms."`
	JSON     bool     `name:"json" help:"Print each day as JSON."`
}

// The arms that aren't baselines: this build's decisions, and the same without its damping of overload.
const (
	moduleArm   = "module"
	undampedArm = "undamped"
)

var errWrongCount = errors.New("a count below zero, or no day")

// Run runs the scenario with each arm and seed, prints the results and ends with an error if this build's decisions violated an
// invariant. A baseline that does so is a finding about the baseline.
func (e emulateCmd) Run() error {
	text, err := readScript(e.Script)
	if err != nil {
		return err
	}
	if min(e.Routers, e.Workers, e.Jobs, e.Clients, e.Threads) < 0 || e.Seeds < 1 {
		return program.UsageError{Err: errWrongCount}
	}
	if e.Threads == 0 {
		e.Threads = runtime.GOMAXPROCS(0)
	}
	violated := false
	inTime := map[string][]float64{} // by arm, of the seeds in order
	for _, arm := range e.Arms {
		if arm != moduleArm && !slices.Contains(baseline.PolicyNames, arm) {
			return program.UsageError{Err: fmt.Errorf("no arm is called %q", arm)}
		}
		for seed := e.Seed; seed < e.Seed+uint64(e.Seeds); seed++ {
			result, err := e.runAndPrint(text, arm, seed)
			if err != nil {
				return err
			}
			inTime[arm] = append(inTime[arm], result.InTime)
			violated = violated || arm == moduleArm && !result.Passed()
		}
	}
	e.compare(inTime)
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

// simulate runs the scenario once. It also gives the scenario's length.
func (e emulateCmd) simulate(text []byte, arm string, seed uint64) (*chaostest.SimulationResult, time.Duration, error) {
	s, err := chaostest.ParseScenario(e.Script, text)
	if err != nil {
		return nil, 0, err
	}
	s.Seed, s.OverloadProtection = seed, s.OverloadProtection && !e.Undamped
	o := overrides{requests: e.Jobs, routers: e.Routers, workers: e.Workers, clients: e.Clients, behavior: chaostest.ClientBehavior(e.Manners)}
	if err := o.apply(s); err != nil {
		return nil, 0, err
	}
	var newPolicy chaostest.PolicyFactory // nil: the balancer
	if arm != moduleArm {
		newPolicy = baseline.NewFactory(baseline.Policy(slices.Index(baseline.PolicyNames, arm)))
	}
	result, err := chaostest.Simulate(s, e.Threads, newPolicy)
	return result, s.Length, err
}

// compare prints how the first arm fares against each other one with the same seeds: the mean of the differences, and its
// standard error.
func (e emulateCmd) compare(inTime map[string][]float64) {
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
		fmt.Printf("in time, %s less %s: %+.3f, standard error %.3f, over %d days\n", e.Arms[0], arm, mean, standardError, e.Seeds)
	}
}
