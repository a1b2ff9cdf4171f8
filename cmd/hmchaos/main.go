// Command hmchaos is the laboratory: it plays days against real routers on loopback and judges them.
package main

import (
	"hollymast/internal/program"
)

type cli struct {
	program.CommonFlags
	Load       loadCmd       `cmd:"" help:"Measure a steady stream of jobs through a router against straight to the servers, in one run."`
	Changes    changesCmd    `cmd:"" help:"Change the list through a pretend control plane, under load, and measure how soon the router follows."`
	Emulate    emulateCmd    `cmd:"" help:"Play a day in simulated time, with this build's decisions or a textbook policy's."`
	Experiment experimentCmd `cmd:"" help:"Play many days in simulated time and hold arms against each other, as a file says."`
	Day        dayCmd        `cmd:"" help:"Play a scripted bad day and judge the five rules from what crossed the sockets."`
}

func main() {
	var c cli
	ctx := program.Parse(&c, "hmchaos", `The laboratory of hollymast.

Examples:

  hmchaos day --seed 7                              the built-in bad day

  hmchaos day --script days/dawn.ini --record REC

  hmchaos emulate --script days/portals.ini --seeds 20 --arms module,least

  hmchaos experiment days/arms.exp.ini

  hmchaos load --rates 1000,10000 --recording 8`)
	program.Exit("hmchaos", ctx.Run())
}
