// Command hmchaos tests routers under load and faults, as real processes on loopback or in a simulation. It checks invariants and
// measures performance.
package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"hollymast/internal/program"
)

type cli struct {
	program.CommonFlags
	Load       loadCmd       `cmd:"" help:"Measure a steady stream of requests, directly to the servers and through a router."`
	Changes    changesCmd    `cmd:"" help:"Change the endpoint list through a fake control plane under load, and measure how soon the router follows."`
	Emulate    emulateCmd    `cmd:"" help:"Run a scenario in simulated time, with this build's balancer or a baseline policy."`
	Experiment experimentCmd `cmd:"" help:"Compare policies over many simulated runs, as a file describes."`
	Soak       soakCmd       `cmd:"" help:"Inject random faults into platform routers, and check the platform's invariants on the recorded traffic."`
	Day        dayCmd        `cmd:"" help:"Run a scenario with real processes, and check the five invariants on the recorded traffic."`
}

// errViolation is returned by a command that has already printed which invariants were violated.
var errViolation = errors.New("an invariant was violated")

func main() {
	var c cli
	ctx := program.Parse(&c, "hmchaos", `Chaos and load tests of hollymast.

Examples:

  hmchaos day --seed 7                              the built-in scenario

  hmchaos day --script days/dawn.ini --record REC

  hmchaos emulate --script days/portals.ini --seeds 20 --arms module,least

  hmchaos experiment days/arms.exp.ini

  hmchaos load --rates 1000,10000 --recording 8`)
	program.Exit("hmchaos", ctx.Run())
}

// untilInterrupted returns a context that ends with SIGINT or SIGTERM.
func untilInterrupted() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
