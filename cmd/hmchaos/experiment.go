package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"runtime"
	"sync"
	"syscall"

	"github.com/schollz/progressbar/v3"

	"hollymast/internal/chaostest"
	experiments "hollymast/internal/experiment"
	"hollymast/internal/program"
)

type experimentCmd struct {
	File  string `arg:"" help:"What is asked (INI)." type:"path"`
	Rows  string `help:"File that keeps what was played; without, FILE.rows." type:"path"`
	Quiet bool   `help:"No progress."`
}

// play plays one day on one thread.
func (a *experimentSpec) play(ctx context.Context, c experiments.Trial) (experiments.Result, error) {
	z := a.sizes[c.Size]
	e := emulateCmd{Script: a.script, Seed: c.Seed, Seeds: 1, Threads: 1, Routers: z.routers, Workers: z.workers, Jobs: z.jobs, Clients: z.clients, Manners: z.manners,
		Undamped: c.Arm == "undamped"}
	var res *chaostest.SimulationResult
	var err error
	if p := a.programs[c.Arm]; p != "" {
		res, err = e.elsewhere(ctx, p)
	} else {
		arm := c.Arm
		if arm == "undamped" {
			arm = "module"
		}
		res, _, err = e.one(a.scenarioText, arm, c.Seed)
	}
	if err != nil {
		return experiments.Result{}, fmt.Errorf("%s, %s, seed %d: %w", c.Size, c.Arm, c.Seed, err)
	}
	row := experiments.Result{Trial: c, InTime: res.InTime, WeightedInTime: res.WeightedInTime, Requests: res.Requests, Attempts: res.Attempts, Loads: res.Loads, Hash: res.Hash}
	for _, r := range res.Rules {
		row.Violations += r.ViolationCount
	}
	return row, nil
}

// elsewhere has another build of hmchaos play a day.
func (e emulateCmd) elsewhere(ctx context.Context, name string) (*chaostest.SimulationResult, error) {
	args := []string{"emulate", "--json", "--threads=1", "--script=" + e.Script, fmt.Sprint("--seed=", e.Seed), fmt.Sprint("--routers=", e.Routers),
		fmt.Sprint("--workers=", e.Workers), fmt.Sprint("--jobs=", e.Jobs), fmt.Sprint("--clients=", e.Clients), "--manners=" + e.Manners}
	out, err := exec.CommandContext(ctx, name, args...).Output()
	var exit *exec.ExitError
	if err != nil && !(errors.As(err, &exit) && exit.ExitCode() == program.ExitFailure) { // a broken rule is in the result
		return nil, err
	}
	res := &chaostest.SimulationResult{}
	line, _, _ := bytes.Cut(out, []byte("\n"))
	return res, json.Unmarshal(line, res)
}

func (x experimentCmd) Run() error {
	a, err := readSpec(x.File)
	if err != nil {
		return err
	}
	if x.Rows == "" {
		x.Rows = x.File + ".rows"
	}
	store, err := experiments.Open(x.Rows)
	if err != nil {
		return program.UsageError{Err: err}
	}
	defer store.Close()
	origins := map[string]string{}
	for _, arm := range a.plan.Arms {
		origins[arm] = a.origin(arm)
	}
	var there []experiments.Result
	for i := range a.plan.MaxSeeds {
		for _, z := range a.plan.Sizes {
			for _, arm := range a.plan.Arms {
				if r, ok := store.Get(origins[arm], experiments.Trial{Size: z, Arm: arm, Seed: a.plan.FirstSeed + uint64(i)}); ok {
					there = append(there, r)
				}
			}
		}
	}
	state := experiments.New(a.plan, there)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err = x.playAll(ctx, a, state, store, origins)
	broken := a.tell(state)
	switch {
	case err != nil:
		return err
	case ctx.Err() != nil:
		return fmt.Errorf("told to stop: what was played is kept in %s", x.Rows)
	case broken > 0:
		return fmt.Errorf("%s broke rules %d times", a.plan.Arms[0], broken)
	}
	return nil
}

// playAll plays what is left, a day a core, and keeps each as it ends.
func (x experimentCmd) playAll(ctx context.Context, a *experimentSpec, state *experiments.Experiment, store *experiments.Store, origins map[string]string) error {
	var mu sync.Mutex
	var first error
	bar := progressbar.DefaultSilent(int64(state.Remaining()))
	if !x.Quiet {
		bar = progressbar.Default(int64(state.Remaining()), "days")
	}
	done := 0
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for {
				mu.Lock()
				c, more := state.Next()
				more = more && first == nil && ctx.Err() == nil
				mu.Unlock()
				if !more {
					return
				}
				row, err := a.play(ctx, c)
				if err == nil {
					err = store.Put(origins[c.Arm], row)
				}
				mu.Lock()
				if err != nil && first == nil && ctx.Err() == nil {
					first = err
				} else if err == nil {
					state.Add(row)
					done++
					bar.ChangeMax(done + state.Remaining())
					bar.Set(done)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return first
}

// tell prints what was found, and counts the breaches of the first arm.
func (a *experimentSpec) tell(state *experiments.Experiment) (broken int) {
	for _, z := range a.plan.Sizes {
		for _, arm := range a.plan.Arms {
			mean, days := state.Mean(z, arm)
			fmt.Printf("%-12s %-14s %s %.3f, mean of %d days\n", z, arm, a.plan.Measure, mean, days)
		}
	}
	words := map[string]string{"": "not told apart", "alike": "alike"}
	for _, f := range state.Findings() {
		word, known := words[f.Verdict]
		if !known {
			word = f.Verdict + " than " + f.Arm
		}
		note := ""
		if f.Violations > 0 {
			note = fmt.Sprintf("; %s broke rules %d times", f.Arm, f.Violations)
		}
		fmt.Printf("%-12s %s less %-14s %+.4f, 95 %% from %+.4f to %+.4f, %d seeds: %s%s\n", f.Size, a.plan.Arms[0], f.Arm, f.Mean, f.Low, f.High, f.Seeds, word, note)
	}
	return state.Violations(a.plan.Arms[0])
}
