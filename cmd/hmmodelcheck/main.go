// Command hmmodelcheck checks properties of routers by exploring small systems of requests, servers and routers through
// all orderings of events and faults.
package main

import "hollymast/internal/program"

type cli struct {
	program.CommonFlags
	Run        runCommand        `cmd:"" help:"Explore a system breadth first; if a property fails, print the shortest trace and exit with 1."`
	Walk       walkCommand       `cmd:"" help:"Take random walks through a system."`
	Moment     momentCommand     `cmd:"" help:"Explore from a state of a recording."`
	Replay     replayCommand     `cmd:"" help:"Replay saved traces with this build."`
	Properties propertiesCommand `cmd:"" help:"Describe the properties."`
	Diagram    diagramCommand    `cmd:"" help:"Print the states of attempts as a Mermaid diagram."`
}

func main() {
	var c cli
	ctx := program.Parse(&c, "hmmodelcheck", `Explores rare orderings of events and faults with the production code of routers.

Examples:

  hmmodelcheck run --breaks 1 --effects run-once

  hmmodelcheck run --jobs 2 --servers 2 --drains 1 --breaks 1 --depth 14

  hmmodelcheck walk --jobs 3 --servers 3 --routers 2 --breaks 3 --restarts 1 --walks 1000

  hmmodelcheck replay internal/modelcheck/traces/left-before-written.json`)
	program.Exit("hmmodelcheck", ctx.Run())
}
