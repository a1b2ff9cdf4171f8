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
	configFlags
	Depth   int    `help:"Maximum number of steps from the initial state; 0: unlimited."`
	States  int    `help:"Stop after the depth that reaches this number of states; 0: unlimited."`
	Workers int    `help:"Number of workers; 0: one per processor."`
	Memory  int    `default:"400000" help:"States of one depth kept in memory; the others are spilled to files."`
	Folder  string `help:"Folder for resuming and for spilled states." type:"path"`
	Save    string `help:"File to save the trace of a violation to." type:"path"`
	Quiet   bool   `help:"Print no progress."`
}

// Run explores a system.
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

// progressPrinter returns a function that prints one line per depth.
func progressPrinter() func(p modelcheck.Progress) {
	previous := 1
	return func(p modelcheck.Progress) {
		growth := float64(p.NewStates) / float64(max(1, previous))
		previous = p.NewStates
		fmt.Fprintf(os.Stderr, "depth %d: %d states, %d new (%.2f times the previous depth), %d steps, %.0f states/s\n", p.Depth, p.States, p.NewStates, growth, p.Steps,
			float64(p.States)/max(0.001, p.Elapsed.Seconds()))
	}
}

// explore runs an exploration until it ends or the process receives SIGINT or SIGTERM, and prints the result.
func explore(x modelcheck.Exploration, saveTo string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	result, err := x.Run(ctx)
	if errors.Is(err, context.Canceled) && result != nil {
		return fmt.Errorf("interrupted after depth %d and %d states; an exploration with --folder can be resumed", result.Depth, result.States)
	}
	if err != nil {
		return err
	}
	outcome := "bounded"
	if result.Complete {
		outcome = "complete"
	}
	fmt.Printf("%s: depth=%d states=%d steps=%d seconds=%.1f heap_mb=%d\n", outcome, result.Depth, result.States, result.Steps, result.Elapsed.Seconds(),
		result.HeapBytes>>20)
	if result.Trace != nil {
		return reportViolation(result.Trace, saveTo)
	}
	return nil
}

// reportViolation prints a trace, saves it unless saveTo is empty, and returns the error with which the program exits.
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
