package program

import (
	"io"

	"github.com/rs/zerolog"
)

// NewLogger returns a logger that writes one JSON object per line, with times in microseconds since 1970. The level is info if its
// name is unknown.
func NewLogger(w io.Writer, program, level string) zerolog.Logger {
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMicro
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(l).With().Timestamp().Str("program", program).Logger()
}
