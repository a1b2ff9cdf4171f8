// Command hollymast routes requests to servers that load functions on demand. It runs as a standalone gateway (serve) or on the operators'
// platform (platform).
package main

import (
	_ "embed" // for example.ini
	"fmt"

	"hollymast/internal/program"
)

//go:embed example.ini
var example string

type commandLine struct {
	program.CommonFlags
	Serve    serveCommand    `cmd:"" help:"Route requests until a signal stops the process."`
	Check    checkCommand    `cmd:"" help:"Report all problems of a settings file and exit."`
	Platform platformCommand `cmd:"" help:"Route requests on the operators' platform, with its configuration."`
	Example  exampleCommand  `cmd:"" help:"Print a commented settings file."`
}

func main() {
	var c commandLine
	ctx := program.Parse(&c, "hollymast", `Routes KServe v2 calls to workers that load functions on demand.

Examples:

  hollymast example > router.ini                  commented settings

  hollymast check router.ini && hollymast serve router.ini`)
	program.Exit("hollymast", ctx.Run())
}

type exampleCommand struct{}

// Run prints the commented settings file.
func (exampleCommand) Run() error {
	fmt.Print(example)
	return nil
}
