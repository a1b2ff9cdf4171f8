// Package program holds what the command-line programs share: flags, logging, exit codes and the printing of errors.
package program
