// Command simadapter runs the balancer in the simulator, with which it exchanges frames over standard input and output.
package main

import (
	"fmt"
	"os"

	"hollymast/internal/program"
	"hollymast/internal/simadapter"
)

type cli struct {
	program.CommonFlags
	Record string `help:"Folder in which each router's steps are recorded, for hmreplay and hmexplain." type:"path"`
}

func main() {
	var c cli
	program.Parse(&c, "simadapter", "Runs the balancer on the simulator's frames.")
	if err := simadapter.Run(os.Stdin, os.Stdout, c.Record); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(program.ExitFailure)
	}
}
