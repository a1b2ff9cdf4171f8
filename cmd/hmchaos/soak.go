package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"hollymast/internal/soak"
)

type soakCmd struct {
	Seeds    string        `default:"1-3" help:"Seeds to run: numbers and ranges, as in 1-50,77."`
	Length   time.Duration `default:"30s" help:"Duration of the traffic of each run."`
	Parallel int           `default:"2" help:"Number of concurrent runs."`
	Router   string        `help:"Executable of the router; default: hollymast in the directory of this program." type:"path"`
	Log      string        `help:"Log level of the routers." default:"info" enum:"trace,debug,info,warn,error"`
	Logs     string        `help:"Folder for the routers' logs of failed runs; default: the system's folder for temporary files." type:"path"`
	Verbose  bool          `help:"Print the faults of each run."`
}

// Run runs the seeds, prints a line for each and the invariants that it violated, and returns an error if there were violations.
func (c soakCmd) Run() error {
	router, err := routerProgram(c.Router)
	if err != nil {
		return err
	}
	seeds, err := parseSeeds(c.Seeds)
	if err != nil {
		return err
	}
	ctx, stop := untilInterrupted()
	defer stop()
	options := soak.Options{RouterPath: router, RouterLogLevel: c.Log, Dir: c.Logs}
	failed, err := c.runAll(ctx, seeds, options)
	if err != nil {
		return err
	}
	fmt.Printf("soak: %d seeds of %v, %d failed: %v\n", len(seeds), c.Length, len(failed), failed)
	if len(failed) > 0 {
		return errViolation
	}
	return nil
}

// runAll runs all seeds, c.Parallel at a time, and returns those that violated an invariant.
func (c soakCmd) runAll(ctx context.Context, seeds []uint64, options soak.Options) (failed []uint64, err error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	running := make(chan struct{}, max(1, c.Parallel))
	for _, seed := range seeds {
		running <- struct{}{}
		wg.Go(func() {
			defer func() { <-running }()
			result, runErr := soak.Run(ctx, soak.GenerateScenario(seed, c.Length), options)
			mu.Lock()
			defer mu.Unlock()
			if runErr != nil {
				err = runErr
				return
			}
			c.print(result)
			if !result.Passed() {
				failed = append(failed, seed)
			}
		})
	}
	wg.Wait()
	return failed, err
}

// print prints a run's result and its violations.
func (c soakCmd) print(result *soak.Result) {
	fmt.Println(result)
	if c.Verbose {
		for _, fault := range result.Scenario.Faults {
			fmt.Println("  fault:", fault)
		}
	}
	const maxPrinted = 20 // violations per run
	for i, violation := range result.Violations {
		if i == maxPrinted {
			fmt.Printf("  and %d more\n", len(result.Violations)-maxPrinted)
			break
		}
		fmt.Println("  BROKEN", violation)
	}
	if result.LogDir != "" {
		fmt.Println("  logs:", result.LogDir)
	}
}

// parseSeeds parses a list of seeds and ranges of seeds.
func parseSeeds(text string) (seeds []uint64, err error) {
	for part := range strings.SplitSeq(text, ",") {
		low, high, isRange := strings.Cut(part, "-")
		if !isRange {
			high = low
		}
		first, err := strconv.ParseUint(low, 10, 32)
		if err != nil {
			return nil, fmt.Errorf("seeds %q: %w", text, err)
		}
		last, err := strconv.ParseUint(high, 10, 32)
		if err != nil {
			return nil, fmt.Errorf("seeds %q: %w", text, err)
		}
		for seed := first; seed <= last; seed++ {
			seeds = append(seeds, seed)
		}
	}
	return seeds, nil
}
