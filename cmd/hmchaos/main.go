// Command hmchaos tests routers under load and faults: real processes on loopback, or simulated ones. It checks the invariants
// and measures.
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
	Load       loadCmd       `cmd:"" help:"Measure a steady stream of jobs through a router against straight to the servers, in one run."`
	Changes    changesCmd    `cmd:"" help:"Change the list through a pretend control plane, under load, and measure how soon the router follows."`
	Emulate    emulateCmd    `cmd:"" help:"Play a day in simulated time, with this build's decisions or a textbook policy's."`
	Experiment experimentCmd `cmd:"" help:"Play many days in simulated time and hold arms against each other, as a file says."`
	Soak       soakCmd       `cmd:"" help:"Play seeded faults against routers of the platform, and judge its rules from what crossed the sockets."`
	Day        dayCmd        `cmd:"" help:"Play a scripted bad day and judge the five rules from what crossed the sockets."`
}

// errViolation ends a command whose report already says which invariants were violated.
var errViolation = errors.New("a rule was broken")

func main() {
	var c cli
	ctx := program.Parse(&c, "hmchaos", `Chaos and load tests of hollymast.

Examples:

  hmchaos day --seed 7                              the built-in bad day

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
