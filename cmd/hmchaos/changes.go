package main

import (
	"errors"
	"fmt"
	"time"

	"hollymast/internal/chaostest"
	"hollymast/internal/program"
)

type changesCmd struct {
	Seed    uint64        `default:"1" help:"Seed of the changes."`
	Number  int           `default:"1000" help:"Changes."`
	Every   time.Duration `default:"20ms" help:"Between two of them, on average."`
	Rate    int           `default:"400" help:"Jobs a second."`
	Workers int           `default:"60" help:"Workers."`
	Delta   bool          `help:"By delta, not by the state of the world."`
	Cuts    bool          `help:"Cut the stream now and again."`
	Loses   bool          `help:"Lose all of the list, then half of it, for three seconds each, as a broken control plane does."`
	Keys    bool          `help:"All connections are secret, and keys, authorities and lists of revoked certificates change meanwhile."`
	Delay   time.Duration `help:"Planted: the control plane says everything later than it claims."`
	Router  string        `help:"The router's program; without, hollymast beside this one." type:"path"`
}

const (
	maxChangesWorkers  = 256 // listeners on loopback
	minChangesInterval = time.Millisecond
)

var errWrongChanges = errors.New("a count below one, over 256 workers, or less than 1ms between changes")

// Run makes the changes, prints how soon the router followed, and ends with an error if an invariant was violated.
func (c changesCmd) Run() error {
	router, err := routerProgram(c.Router)
	if err != nil {
		return err
	}
	if min(c.Number, c.Rate, c.Workers) < 1 || c.Every < minChangesInterval || c.Workers > maxChangesWorkers {
		return program.UsageError{Err: errWrongChanges}
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
