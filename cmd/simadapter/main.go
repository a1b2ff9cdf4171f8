// Command simadapter runs the decision module on the simulator's wire: standard input to standard output.
package main

import (
	"fmt"
	"os"

	"hollymast/internal/program"
	"hollymast/internal/simadapter"
)

type cli struct {
	program.CommonFlags
	Record string `help:"Folder in which each router's turns are recorded, for hmreplay and hmexplain." type:"path"`
}

func main() {
	var c cli
	program.Parse(&c, "simadapter", "Runs the decision module on the simulator's wire.")
	if err := simadapter.Run(os.Stdin, os.Stdout, c.Record); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(program.ExitFailure)
	}
}
