package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"hollymast/internal/modelcheck"
)

type runCommand struct {
	worldFlags
	Depth   int    `help:"Steps at most; 0: to the end."`
	States  int    `help:"States at most, by whole depths; 0: all."`
	Workers int    `help:"Workers; 0: one for each processor."`
	Memory  int    `default:"400000" help:"States of one depth kept in memory; more go to files."`
	Folder  string `help:"Folder to resume from and to spill to." type:"path"`
	Save    string `help:"File for the trace of a violation." type:"path"`
	Quiet   bool   `help:"No progress."`
}

// Run explores a world.
func (r runCommand) Run() error {
	config, properties, err := r.config()
	if err != nil {
		return err
	}
	if r.Folder != "" {
		if err := os.MkdirAll(r.Folder, 0o700); err != nil {
			return err
		}
	}
	x := modelcheck.Exploration{Config: config, Properties: properties, MaxDepth: r.Depth, MaxStates: r.States, Workers: r.Workers, MaxStatesInMemory: r.Memory,
		Dir: r.Folder}
	if !r.Quiet {
		x.Progress = progressPrinter()
	}
	return explore(x, r.Save)
}

// progressPrinter returns a function that prints a line for each depth.
func progressPrinter() func(p modelcheck.Progress) {
	before := 1
	return func(p modelcheck.Progress) {
		growth := float64(p.NewStates) / float64(max(1, before))
		before = p.NewStates
		fmt.Fprintf(os.Stderr, "depth %d: %d states, %d new (%.2f times the last), %d steps, %.0f states/s\n", p.Depth, p.States, p.NewStates, growth, p.Steps,
			float64(p.States)/max(0.001, p.Elapsed.Seconds()))
	}
}

// explore runs an exploration until it ends or a signal comes, and prints its end.
func explore(x modelcheck.Exploration, saveTo string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	result, err := x.Run(ctx)
	if errors.Is(err, context.Canceled) && result != nil {
		return fmt.Errorf("ended after depth %d, %d states; with a folder it can be resumed", result.Depth, result.States)
	}
	if err != nil {
		return err
	}
	word := "bounded"
	if result.Complete {
		word = "complete"
	}
	fmt.Printf("%s: depth=%d states=%d steps=%d seconds=%.1f heap_mb=%d\n", word, result.Depth, result.States, result.Steps, result.Elapsed.Seconds(),
		result.HeapBytes>>20)
	if result.Trace != nil {
		return reportViolation(result.Trace, saveTo)
	}
	return nil
}

// reportViolation prints a trace, saves it where that is wanted and returns the error that the program ends with.
func reportViolation(t *modelcheck.Trace, saveTo string) error {
	fmt.Print(t.Text(&modelcheck.ProductionRules))
	if saveTo != "" {
		b, err := t.Marshal()
		if err != nil {
			return err
		}
		if err := os.WriteFile(saveTo, append(b, '\n'), 0o644); err != nil {
			return err
		}
	}
	return fmt.Errorf("a property fails: %s", t.Violation)
}
