// Command hmmodelcheck takes small worlds of requests, servers and routers through all orderings of what can happen in them.
package main

import "hollymast/internal/program"

type cli struct {
	program.CommonFlags
	Run        runCommand        `cmd:"" help:"Explore a world breadth first; exit 1 with the shortest trace where a property fails."`
	Walk       walkCommand       `cmd:"" help:"Walk through a world at random, again and again."`
	Moment     momentCommand     `cmd:"" help:"Explore from a state of a recorded day."`
	Replay     replayCommand     `cmd:"" help:"Replay saved traces with this build."`
	Properties propertiesCommand `cmd:"" help:"Describe the properties."`
	Diagram    diagramCommand    `cmd:"" help:"Print the states of attempts as a Mermaid diagram."`
}

func main() {
	var c cli
	ctx := program.Parse(&c, "hmmodelcheck", `Explores rare orderings, with the code that decides in production.

Examples:

  hmmodelcheck run --breaks 1 --effects run-once

  hmmodelcheck run --jobs 2 --servers 2 --drains 1 --breaks 1 --depth 14

  hmmodelcheck walk --jobs 3 --servers 3 --routers 2 --breaks 3 --restarts 1 --walks 1000

  hmmodelcheck replay internal/modelcheck/traces/left-before-written.json`)
	program.Exit("hmmodelcheck", ctx.Run())
}
