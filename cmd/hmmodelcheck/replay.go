package main

import (
	"fmt"
	"os"
	"path/filepath"

	"hollymast/internal/modelcheck"
	"hollymast/internal/program"
)

type replayCommand struct {
	Files []string `arg:"" name:"file" help:"Saved traces." type:"path"`
}

// Run replays saved traces. It returns an error if a property fails in any of them.
func (r replayCommand) Run() error {
	failed := 0
	for _, name := range r.Files {
		trace, err := readTrace(name)
		if err != nil {
			return program.UsageError{Err: err}
		}
		switch violation, after, err := trace.Replay(&modelcheck.ProductionRules, modelcheck.Properties); {
		case violation != "":
			failed++
			fmt.Printf("%s: fails after %d steps: %s\n", filepath.Base(name), after, violation)
		case err != nil:
			fmt.Printf("%s: no property fails; the trace can no longer be replayed: %v\n", filepath.Base(name), err)
		default:
			fmt.Printf("%s: no property fails\n", filepath.Base(name))
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d traces fail", failed)
	}
	return nil
}

func readTrace(name string) (*modelcheck.Trace, error) {
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	trace, err := modelcheck.ParseTrace(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return trace, nil
}
