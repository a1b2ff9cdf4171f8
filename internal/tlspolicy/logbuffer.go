package tlspolicy

import "fmt"

// logBuffer holds log lines until they are taken.
type logBuffer struct{ lines []string }

func (b *logBuffer) logf(format string, args ...any) {
	b.lines = append(b.lines, fmt.Sprintf(format, args...))
}

// TakeLogLines returns the log lines since the last call.
func (b *logBuffer) TakeLogLines() []string {
	lines := b.lines
	b.lines = nil
	return lines
}
