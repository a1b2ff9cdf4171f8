// Command hollymast is the router.
package main

import (
	_ "embed"
	"fmt"

	"hollymast/internal/program"
)

//go:embed example.ini
var example string

type commandLine struct {
	program.CommonFlags
	Serve serveCommand    `cmd:"" help:"Route jobs until told to stop."`
	Check checkCommand    `cmd:"" help:"Tell all that is wrong with a settings file, and do nothing else."`
	On    platformCommand `cmd:"" name:"platform" help:"Route jobs on the operators' platform, as its configuration tells."`
	Show  exampleCommand  `cmd:"" name:"example" help:"Print a commented settings file."`
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

func (exampleCommand) Run() error {
	fmt.Print(example)
	return nil
}
