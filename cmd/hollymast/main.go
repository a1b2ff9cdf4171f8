// Command hollymast routes requests to servers that load functions on demand: by itself (serve) or on the operators' platform (platform).
package main

import (
	_ "embed" // for the example
	"fmt"

	"hollymast/internal/program"
)

//go:embed example.ini
var example string

type commandLine struct {
	program.CommonFlags
	Serve    serveCommand    `cmd:"" help:"Route requests until a signal ends it."`
	Check    checkCommand    `cmd:"" help:"Report all that is wrong with a settings file, and do nothing else."`
	Platform platformCommand `cmd:"" help:"Route requests on the operators' platform, by its configuration."`
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

// Run prints the example.
func (exampleCommand) Run() error {
	fmt.Print(example)
	return nil
}
