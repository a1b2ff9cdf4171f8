package main

import (
	"errors"
	"fmt"
	"time"

	"hollymast/internal/chaostest"
	"hollymast/internal/program"
)

type changesCmd struct {
	Seed    uint64        `default:"1" help:"Seed of the random changes."`
	Number  int           `default:"1000" help:"Number of changes."`
	Every   time.Duration `default:"20ms" help:"Mean time between two changes."`
	Rate    int           `default:"400" help:"Requests per second."`
	Workers int           `default:"60" help:"Number of workers."`
	Delta   bool          `help:"Use the incremental (delta) variant of xDS instead of state of the world."`
	Cuts    bool          `help:"Drop the xDS streams occasionally."`
	Loses   bool          `help:"Publish an empty endpoint list, and later half of the list, for three seconds each, as a broken control plane does."`
	Keys    bool          `help:"Use TLS on all connections, and rotate keys, authorities and revocation lists during the run."`
	Delay   time.Duration `help:"Send every update this much later than the log records, to check that the delay is measured."`
	Router  string        `help:"Executable of the router; default: hollymast in the directory of this program." type:"path"`
}

const (
	maxChangesWorkers  = 256 // each listens on loopback
	minChangesInterval = time.Millisecond
)

var errInvalidChanges = errors.New("--number, --rate and --workers must be at least 1, --workers at most 256, and --every at least 1ms")

// Run makes the changes, prints how soon the router followed them, and returns an error if an invariant was violated.
func (c changesCmd) Run() error {
	router, err := routerProgram(c.Router)
	if err != nil {
		return err
	}
	if min(c.Number, c.Rate, c.Workers) < 1 || c.Every < minChangesInterval || c.Workers > maxChangesWorkers {
		return program.UsageError{Err: errInvalidChanges}
	}
	ctx, stop := untilInterrupted()
	defer stop()
	result, err := chaostest.RunChurn(ctx, chaostest.Churn{Seed: c.Seed, Changes: c.Number, Interval: c.Every, Rate: c.Rate, Workers: c.Workers, Delta: c.Delta,
		DropStreams: c.Cuts, LoseEndpoints: c.Loses, TLS: c.Keys, PublishDelay: c.Delay}, router)
	if err != nil {
		return err
	}
	fmt.Println(result)
	if !result.Passed() {
		return errViolation
	}
	return nil
}
