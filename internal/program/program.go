// Package program is what the small programs share: the form of their logs, their exit codes and how they tell faults.
package program

import (
	"io"

	"github.com/rs/zerolog"
)

// Log gives the structured log: a JSON object a line, times in whole microseconds since 1970.
func NewLogger(w io.Writer, name, level string) zerolog.Logger {
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMicro
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(l).With().Timestamp().Str("program", name).Logger()
}
