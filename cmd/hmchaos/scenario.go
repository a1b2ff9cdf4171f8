package main

import (
	"errors"
	"os"

	"hollymast/internal/chaostest"
	"hollymast/internal/program"
)

var errNegativeCount = errors.New("a count below zero")

// overrides replace parts of a scenario; those that are zero leave it as it is.
type overrides struct {
	requests, routers, workers, clients int
	behavior                            chaostest.ClientBehavior
}

func (o overrides) apply(s *chaostest.Scenario) error {
	for _, count := range []struct {
		from int
		to   *int
	}{{o.requests, &s.Calls}, {o.routers, &s.Routers}, {o.workers, &s.Workers}, {o.clients, &s.LibraryClients}} {
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

// readScript reads a scenario's file; nil, the built-in scenario, without a name.
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
