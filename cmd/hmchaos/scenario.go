package main

import (
	"errors"
	"os"

	"hollymast/internal/chaostest"
	"hollymast/internal/program"
)

var errNegativeCount = errors.New("counts must not be negative")

// overrides replaces parts of a scenario. Zero values leave them unchanged.
type overrides struct {
	calls, routers, workers, clients int
	behavior                         chaostest.ClientBehavior
}

func (o overrides) apply(s *chaostest.Scenario) error {
	for _, count := range []struct {
		from int
		to   *int
	}{{o.calls, &s.Calls}, {o.routers, &s.Routers}, {o.workers, &s.Workers}, {o.clients, &s.LibraryClients}} {
		if count.from < 0 {
			return program.UsageError{Err: errNegativeCount}
		}
		if count.from > 0 {
			*count.to = count.from
		}
	}
	if o.behavior != "" {
		s.ClientBehavior = o.behavior
	}
	return nil
}

// readScript reads a scenario's file. Without a name it returns nil, which stands for the built-in scenario.
func readScript(name string) ([]byte, error) {
	if name == "" {
		return nil, nil
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, program.UsageError{Err: err}
	}
	return text, nil
}
