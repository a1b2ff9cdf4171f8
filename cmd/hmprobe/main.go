// Command hmprobe sends servers the requests that a router sends, and prints what a router would conclude from the responses.
package main

import (
	"hollymast/internal/program"
)

type cli struct {
	program.CommonFlags
	Servers serversCommand `cmd:"" help:"Probe servers by address, or all servers of a list file. Runs nothing on them unless --run is given."`
	Router  routerCommand  `cmd:"" help:"Query or control a router at its admin address: state, snapshot, record-start, record-stop."`
}

func main() {
	var c cli
	ctx := program.Parse(&c, "hmprobe", `Sends servers the requests that a router sends, and prints what a router would conclude from the responses.

Examples:

  hmprobe servers --list workers.ini              runs nothing

  hmprobe servers 127.0.0.1:9001 --run forecast-a

  hmprobe router 127.0.0.1:8081 record-start --folder /var/tmp/rec`)
	program.Exit("hmprobe", ctx.Run())
}
