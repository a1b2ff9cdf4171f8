// Package program has what the command-line programs share: flags, logging, exit codes, and how errors are printed.
package program
