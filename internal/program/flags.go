package program

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	kongcompletion "github.com/jotaen/kong-completion"
)

// Common is what all programs understand beside their own arguments.
type CommonFlags struct {
	Version    kong.VersionFlag `help:"Print the build and end."`
	Completion completion       `placeholder:"SHELL" help:"Print what switches completion on in bash, zsh or fish, and end."`
}

// completion is a flag that tells a shell to ask the program itself what may follow.
type completion string

// BeforeReset prints the lines for the shell; it comes before required arguments are looked for.
func (completion) BeforeReset(app *kong.Kong, ctx *kong.Context, trace *kong.Path) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	shell := fmt.Sprint(ctx.FlagValue(trace.Flag))
	switch shell {
	case "bash":
		fmt.Fprintf(app.Stdout, "complete -C %q %s\n", self, app.Model.Name)
	case "zsh":
		fmt.Fprintf(app.Stdout, "autoload -U +X bashcompinit && bashcompinit\ncomplete -C %q %s\n", self, app.Model.Name)
	case "fish":
		fmt.Fprintf(app.Stdout, "complete -c %s -f -a '(env COMP_LINE=(commandline -cp) %q)'\n", app.Model.Name, self)
	default:
		return fmt.Errorf("%q is none of bash, zsh, fish", shell)
	}
	app.Exit(ExitOK)
	return nil
}

// Parse reads the arguments into a struct of kong's; wrong ones end the program.
func Parse(cli any, name, about string) *kong.Context {
	parser, err := kong.New(cli, kong.Name(name), kong.Description(about), kong.Vars{"version": name + " " + BuildID()},
		kong.Exit(func(code int) {
			if code != ExitOK {
				code = ExitUsage
			}
			os.Exit(code)
		}))
	if err != nil {
		panic(err) // the struct itself is wrong
	}
	kongcompletion.Register(parser) // answers and ends where a shell asks
	ctx, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	return ctx
}
