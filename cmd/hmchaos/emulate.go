package main

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
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

func (e emulateCmd) Run() error {
	var text []byte
	if e.Script != "" {
		var err error
		if text, err = os.ReadFile(e.Script); err != nil {
			return program.UsageError{Err: err}
		}
	}
	if min(e.Routers, e.Workers, e.Jobs, e.Clients, e.Threads) < 0 || e.Seeds < 1 {
		return program.UsageError{Err: fmt.Errorf("a count below zero, or no day")}
	}
	if e.Threads == 0 {
		e.Threads = runtime.GOMAXPROCS(0)
	}
	kept := true
	first := map[string][]float64{}
	for _, arm := range e.Arms {
		if arm != "module" && !slices.Contains(baseline.Names, arm) {
			return program.UsageError{Err: fmt.Errorf("no arm is called %q", arm)}
		}
		for seed := e.Seed; seed < e.Seed+uint64(e.Seeds); seed++ {
			begun := time.Now()
			res, length, err := e.one(text, arm, seed)
			if err != nil {
				return program.UsageError{Err: err}
			}
			took := time.Since(begun)
			first[arm] = append(first[arm], res.InTime)
			if e.JSON {
				b, err := json.Marshal(res)
				if err != nil {
					return err
				}
				fmt.Println(string(b))
			}
			word := "kept"
			if !res.Passed() {
				word = "broken"
				kept = kept && arm != "module" // a textbook policy that breaks a rule is a finding about it
			}
			fmt.Printf("%-12s seed %d: %s in_time=%.3f worth=%.3f jobs=%d pushed_back=%d killed=%d unanswered=%d executions=%.3f loads=%d cold_use=%.2f warm_use=%.2f hash=%016x  %.0f times real time, %d events\n",
				arm, seed, word, res.InTime, res.WeightedInTime, res.Requests, res.Rejected, res.Failed, res.Unanswered, float64(res.Attempts)/float64(max(1, res.Requests)),
				res.Loads, res.SlowStartUtilization, res.Utilization, res.Hash, length.Seconds()/took.Seconds(), res.Events)
			for _, r := range res.Rules {
				if r.ViolationCount > 0 {
					fmt.Printf("    rule %d, %s: BROKEN %d times, as %s\n", r.Number, r.Name, r.ViolationCount, r.Violations[0])
				}
			}
		}
	}
	e.compare(first)
	if !kept {
		return fmt.Errorf("a rule was broken")
	}
	return nil
}

// one plays one day.
func (e emulateCmd) one(text []byte, arm string, seed uint64) (*chaostest.SimulationResult, time.Duration, error) {
	d, err := chaostest.ParseScenario(e.Script, text)
	if err != nil {
		return nil, 0, err
	}
	d.Seed, d.DampOverload = seed, d.DampOverload && !e.Undamped
	if err := overrideSizes(d, e.Jobs, e.Routers, e.Workers, e.Clients); err != nil {
		return nil, 0, err
	}
	if e.Manners != "" {
		d.ClientBehavior = e.Manners
	}
	var res *chaostest.SimulationResult
	if arm == "module" {
		res, err = chaostest.Simulate(d, e.Threads, nil)
	} else {
		res, err = chaostest.Simulate(d, e.Threads, baseline.NewFactory(baseline.Policy(slices.Index(baseline.Names, arm))))
	}
	return res, d.Length, err
}

// compare tells how the first arm fares against each other one on the same days: the mean of the differences, with its error.
func (e emulateCmd) compare(in map[string][]float64) {
	for _, arm := range e.Arms[1:] {
		n, sum, squares := float64(e.Seeds), 0.0, 0.0
		for i, x := range in[e.Arms[0]] {
			d := x - in[arm][i]
			sum, squares = sum+d, squares+d*d
		}
		mean := sum / n
		spread := 0.0
		if n > 1 {
			spread = math.Sqrt(max(0, squares-n*mean*mean) / (n - 1) / n)
		}
		fmt.Printf("in time, %s less %s: %+.3f, standard error %.3f, over %d days\n", e.Arms[0], arm, mean, spread, e.Seeds)
	}
}
