package program

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	kongcompletion "github.com/jotaen/kong-completion"
)

// CommonFlags are the flags of all programs.
type CommonFlags struct {
	Version    kong.VersionFlag `help:"Print the build and exit."`
	Completion completion       `placeholder:"SHELL" help:"Print a script that turns on completion in bash, zsh or fish, and exit."`
}

// completion is the flag that prints a shell's completion script. With it the shell runs the program to get completions.
type completion string

// BeforeReset prints the script and exits. Kong calls it before it checks required arguments.
func (completion) BeforeReset(app *kong.Kong, ctx *kong.Context, trace *kong.Path) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	name := app.Model.Name
	switch shell := fmt.Sprint(ctx.FlagValue(trace.Flag)); shell {
	case "bash":
		fmt.Fprintf(app.Stdout, "complete -C %q %s\n", self, name)
	case "zsh":
		fmt.Fprintf(app.Stdout, "autoload -U +X bashcompinit && bashcompinit\ncomplete -C %q %s\n", self, name)
	case "fish":
		fmt.Fprintf(app.Stdout, "complete -c %s -f -a '(env COMP_LINE=(commandline -cp) %q)'\n", name, self)
	default:
		return fmt.Errorf("%q is not one of bash, zsh, fish", shell)
	}
	app.Exit(ExitOK)
	return nil
}

// Parse parses the arguments into a struct with kong's tags. It exits if they are wrong, or if a shell requests a completion.
func Parse(cli any, program, description string) *kong.Context {
	parser, err := kong.New(cli, kong.Name(program), kong.Description(description), kong.Vars{"version": program + " " + BuildID()},
		kong.Exit(func(code int) {
			if code != ExitOK {
				code = ExitUsage
			}
			os.Exit(code)
		}))
	if err != nil {
		panic(err) // the struct's tags are wrong
	}
	kongcompletion.Register(parser)
	ctx, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	return ctx
}
