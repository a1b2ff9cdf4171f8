package program

import (
	"errors"
	"fmt"
	"hollymast/internal/inifile"
	"os"
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
