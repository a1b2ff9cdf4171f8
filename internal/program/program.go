// Package program is what the small programs share: the form of their logs, their exit codes and how they tell faults.
package program

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
	kongcompletion "github.com/jotaen/kong-completion"
	"github.com/rs/zerolog"

	"hollymast/internal/inifile"
)

// Exit codes.
const (
	ExitOK      = 0
	ExitFailure = 1 // a breach or a failure was found
	ExitUsage   = 2 // the call or its input is wrong
)

// Use marks an error as wrong use of the program.
type UsageError struct{ Err error }

func (u UsageError) Error() string { return u.Err.Error() }

// Unwrap gives the error itself.
func (u UsageError) Unwrap() error { return u.Err }

// Log gives the structured log: a JSON object a line, times in whole microseconds since 1970.
func NewLogger(w io.Writer, name, level string) zerolog.Logger {
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMicro
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(l).With().Timestamp().Str("program", name).Logger()
}

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

// Exit tells an error in plain lines and ends the program with the code that fits.
func Exit(name string, err error) {
	if err == nil {
		os.Exit(ExitOK)
	}
	var faults *inifile.ValidationError
	if errors.As(err, &faults) {
		for _, l := range faults.Problems {
			fmt.Fprintln(os.Stderr, l)
		}
		os.Exit(ExitUsage)
	}
	fmt.Fprintf(os.Stderr, "%s: %s\n", name, err)
	var use UsageError
	if errors.As(err, &use) || errors.Is(err, os.ErrNotExist) {
		os.Exit(ExitUsage)
	}
	os.Exit(ExitFailure)
}

// Build identifies the program by its own bytes, so that two builds of one version can be told apart; empty where they
// can't be read.
func BuildID() string {
	name, err := os.Executable()
	if err != nil {
		return ""
	}
	return BuildIDOf(name)
}

// BuildOf is the same of another program.
func BuildIDOf(name string) string {
	f, err := os.Open(name)
	if err != nil {
		return ""
	}
	defer f.Close()
	h := sha256.New()
	if _, err := io.Copy(h, f); err != nil {
		return ""
	}
	return hex.EncodeToString(h.Sum(nil)[:8])
}
