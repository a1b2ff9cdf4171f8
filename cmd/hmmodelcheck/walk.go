package main

import (
	"fmt"
	"time"

	"hollymast/internal/modelcheck"
)

type walkCommand struct {
	configFlags
	Walks int    `default:"1000" help:"Number of walks."`
	Steps int    `default:"200" help:"Maximum number of steps per walk."`
	Seed  uint64 `default:"1" help:"Seed of the first walk; each further walk uses the next one."`
	Save  string `help:"File to save the trace of a violation to." type:"path"`
}

// Run takes random walks through a system until a property fails.
func (w walkCommand) Run() error {
	config, properties, err := w.config()
	if err != nil {
		return err
	}
	steps := 0
	started := time.Now()
	for i := range w.Walks {
		seed := w.Seed + uint64(i)
		trace, n, err := modelcheck.RandomWalk(config, &modelcheck.ProductionRules, properties, w.Steps, modelcheck.SeededPicker(seed))
		steps += n
		if err != nil {
			return err
		}
		if trace != nil {
			fmt.Printf("seed %d:\n", seed)
			return reportViolation(trace, w.Save)
		}
	}
	fmt.Printf("%d walks, %d steps, %.1f s: no property fails\n", w.Walks, steps, time.Since(started).Seconds())
	return nil
}
