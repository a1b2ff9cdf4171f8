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
	Seeds    string        `default:"1-3" help:"Seeds to play: numbers and ranges, as in 1-50,77."`
	Length   time.Duration `default:"30s" help:"Length of each run's traffic."`
	Parallel int           `default:"2" help:"Runs at a time."`
	Router   string        `help:"The router's program; without, hollymast beside this one." type:"path"`
	Log      string        `help:"The routers' log level." default:"info" enum:"trace,debug,info,warn,error"`
	Logs     string        `help:"Folder that keeps the routers' logs of the runs that fell; without, the system's for temporary files." type:"path"`
	Verbose  bool          `help:"Print each run's faults."`
}

// Run plays the seeds, prints a line for each and what it broke, and ends with an error if a rule was broken.
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
	fell, err := c.playAll(ctx, seeds, options)
	if err != nil {
		return err
	}
	fmt.Printf("soak: %d seeds of %v, %d fell: %v\n", len(seeds), c.Length, len(fell), fell)
	if len(fell) > 0 {
		return errViolation
	}
	return nil
}

// playAll plays all seeds, some at a time, and returns those that fell.
func (c soakCmd) playAll(ctx context.Context, seeds []uint64, options soak.Options) (fell []uint64, err error) {
	var mu sync.Mutex
	var all sync.WaitGroup
	running := make(chan struct{}, max(1, c.Parallel))
	for _, seed := range seeds {
		running <- struct{}{}
		all.Go(func() {
			defer func() { <-running }()
			result, playErr := soak.Run(ctx, soak.GenerateScenario(seed, c.Length), options)
			mu.Lock()
			defer mu.Unlock()
			if playErr != nil {
				err = playErr
				return
			}
			c.print(result)
			if !result.Passed() {
				fell = append(fell, seed)
			}
		})
	}
	all.Wait()
	return fell, err
}

// print prints a run's result and what it broke.
func (c soakCmd) print(result *soak.Result) {
	fmt.Println(result)
	if c.Verbose {
		for _, fault := range result.Scenario.Faults {
			fmt.Println("  fault:", fault)
		}
	}
	const most = 20 // breaks that are printed of a run
	for i, broken := range result.Violations {
		if i == most {
			fmt.Printf("  and %d more\n", len(result.Violations)-most)
			break
		}
		fmt.Println("  BROKEN", broken)
	}
	if result.LogDir != "" {
		fmt.Println("  logs:", result.LogDir)
	}
}

// parseSeeds reads numbers and ranges of seeds.
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
