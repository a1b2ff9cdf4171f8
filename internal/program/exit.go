package program

import (
	"errors"
	"fmt"
	"os"

	"hollymast/internal/inifile"
)

// Exit codes.
const (
	ExitOK      = 0
	ExitFailure = 1 // the program has failed, or has found a violation
	ExitUsage   = 2 // the arguments or a file that they name are wrong
)

// UsageError wraps an error in the arguments of a program, or in a file that they name.
type UsageError struct{ Err error }

func (e UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e UsageError) Unwrap() error { return e.Err }

// Exit prints an error, if there is one, and exits with the exit code for it. Every problem of a configuration file is printed on a
// line of its own.
func Exit(program string, err error) {
	var invalid *inifile.ValidationError
	var usage UsageError
	switch {
	case err == nil:
		os.Exit(ExitOK)
	case errors.As(err, &invalid):
		for _, problem := range invalid.Problems {
			fmt.Fprintln(os.Stderr, problem)
		}
		os.Exit(ExitUsage)
	}
	fmt.Fprintf(os.Stderr, "%s: %s\n", program, err)
	if errors.As(err, &usage) || errors.Is(err, os.ErrNotExist) {
		os.Exit(ExitUsage)
	}
	os.Exit(ExitFailure)
}
