// Command hmprobe asks servers what a router would ask, and prints what a router would conclude.
package main

import (
	"hollymast/internal/program"
)

type cli struct {
	program.CommonFlags
	Servers serversCommand `cmd:"" help:"Probe servers by address, or all of a list file. Runs nothing unless told to."`
	Router  routerCommand  `cmd:"" help:"Ask a router at its admin address: state, snapshot, record-start, record-stop."`
}

func main() {
	var c cli
	ctx := program.Parse(&c, "hmprobe", `Asks servers what a router would ask, and tells what it would conclude from their answers.

Examples:

  hmprobe servers --list workers.ini              runs nothing

  hmprobe servers 127.0.0.1:9001 --run forecast-a

  hmprobe router 127.0.0.1:8081 record-start --folder /var/tmp/rec`)
	program.Exit("hmprobe", ctx.Run())
}
