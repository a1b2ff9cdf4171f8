// Command drill runs the decision module on the simulator's wire: standard input to standard output.
package main

import (
	"fmt"
	"os"

	"hollymast/internal/drill"
	"hollymast/internal/program"
)

type cli struct {
	program.Common
	Record string `help:"Folder in which each router's turns are recorded, for hmreplay and hmexplain." type:"path"`
}

func main() {
	var c cli
	program.Parse(&c, "drill", "Runs the decision module on the simulator's wire.")
	if err := drill.Run(os.Stdin, os.Stdout, c.Record); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(program.Found)
	}
}
