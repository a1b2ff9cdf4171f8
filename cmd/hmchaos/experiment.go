package main

import (
	"context"
	"fmt"
	"runtime"
	"sync"

	"github.com/schollz/progressbar/v3"

	"hollymast/internal/experiment"
	"hollymast/internal/program"
)

type experimentCmd struct {
	File  string `arg:"" help:"Description of the experiment (INI)." type:"path"`
	Rows  string `help:"File that stores the results; default: FILE.rows." type:"path"`
	Quiet bool   `help:"Print no progress."`
}

// Run runs the trials that are still needed, prints the findings and returns an error if the first arm violated an invariant.
func (x experimentCmd) Run() error {
	spec, err := readSpec(x.File)
	if err != nil {
		return err
	}
	if x.Rows == "" {
		x.Rows = x.File + ".rows"
	}
	store, err := experiment.Open(x.Rows)
	if err != nil {
		return program.UsageError{Err: err}
	}
	defer store.Close()
	run := newExperimentRun(spec, store)
	ctx, stop := untilInterrupted()
	defer stop()
	err = run.runAll(ctx, x.progressBar(run.experiment.Remaining()))
	spec.print(run.experiment)
	first := spec.plan.Arms[0]
	switch violations := run.experiment.Violations(first); {
	case err != nil:
		return err
	case ctx.Err() != nil:
		return fmt.Errorf("interrupted: the results so far are stored in %s", x.Rows)
	case violations > 0:
		return fmt.Errorf("%s violated invariants %d times", first, violations)
	}
	return nil
}

func (x experimentCmd) progressBar(trials int) *progressbar.ProgressBar {
	if x.Quiet {
		return progressbar.DefaultSilent(int64(trials))
	}
	return progressbar.Default(int64(trials), "trials")
}

// experimentRun is an experiment whose trials are being run.
type experimentRun struct {
	spec    *experimentSpec
	store   *experiment.Store
	origins map[string]string // by arm

	mu         sync.Mutex
	experiment *experiment.Experiment
	done       int   // trials in this run
	err        error // the first
}

// newExperimentRun starts with the results that the store already has.
func newExperimentRun(spec *experimentSpec, store *experiment.Store) *experimentRun {
	run := &experimentRun{spec: spec, store: store, origins: map[string]string{}}
	for _, arm := range spec.plan.Arms {
		run.origins[arm] = spec.origin(arm)
	}
	var results []experiment.Result
	for i := range spec.plan.MaxSeeds {
		for _, size := range spec.plan.Sizes {
			for _, arm := range spec.plan.Arms {
				t := experiment.Trial{Size: size, Arm: arm, Seed: spec.plan.FirstSeed + uint64(i)}
				if r, ok := store.Get(run.origins[arm], t); ok {
					results = append(results, r)
				}
			}
		}
	}
	run.experiment = experiment.New(spec.plan, results)
	return run
}

// runAll runs the trials that are still needed, as many at a time as there are cores, until ctx is done. It stores each result at
// once.
func (run *experimentRun) runAll(ctx context.Context, bar *progressbar.ProgressBar) error {
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for {
				t, ok := run.nextTrial(ctx)
				if !ok {
					return
				}
				run.runTrial(ctx, t, bar)
			}
		})
	}
	wg.Wait()
	return run.err
}

// nextTrial returns a trial to run. It returns false if no trial is needed, if one has failed, or if ctx is done.
func (run *experimentRun) nextTrial(ctx context.Context) (experiment.Trial, bool) {
	run.mu.Lock()
	defer run.mu.Unlock()
	t, ok := run.experiment.NextTrial()
	return t, ok && run.err == nil && ctx.Err() == nil
}

// runTrial runs a trial and adds its result. Errors after an interruption are ignored, because the interruption may have caused them.
func (run *experimentRun) runTrial(ctx context.Context, t experiment.Trial, bar *progressbar.ProgressBar) {
	result, err := run.spec.run(ctx, t)
	if err == nil {
		err = run.store.Put(run.origins[t.Arm], result)
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	switch {
	case err == nil:
		run.experiment.AddResult(result)
		run.done++
		bar.ChangeMax(run.done + run.experiment.Remaining())
		bar.Set(run.done)
	case run.err == nil && ctx.Err() == nil:
		run.err = err
	}
}

// print prints the mean of each arm and size, and the findings.
func (spec *experimentSpec) print(e *experiment.Experiment) {
	for _, size := range spec.plan.Sizes {
		for _, arm := range spec.plan.Arms {
			mean, trials := e.Mean(size, arm)
			fmt.Printf("%-12s %-14s %s %.3f, mean of %d trials\n", size, arm, spec.plan.Measure, mean, trials)
		}
	}
	for _, f := range e.Findings() {
		verdict := string(f.Verdict) + " than " + f.Arm
		switch f.Verdict {
		case experiment.Undecided:
			verdict = "undecided"
		case experiment.Equivalent:
			verdict = "alike"
		}
		note := ""
		if f.Violations > 0 {
			note = fmt.Sprintf("; %s violated invariants %d times", f.Arm, f.Violations)
		}
		fmt.Printf("%-12s %s less %-14s %+.4f, 95 %% from %+.4f to %+.4f, %d seeds: %s%s\n", f.Size, spec.plan.Arms[0], f.Arm, f.MeanDifference, f.Low, f.High, f.SeedCount, verdict, note)
	}
}
