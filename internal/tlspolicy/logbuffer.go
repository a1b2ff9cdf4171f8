package tlspolicy

import "fmt"

// logBuffer collects log lines until TakeLogLines returns them.
type logBuffer struct{ lines []string }

func (b *logBuffer) logf(format string, args ...any) {
	b.lines = append(b.lines, fmt.Sprintf(format, args...))
}

// TakeLogLines returns the lines to log that were added since the last call.
func (b *logBuffer) TakeLogLines() []string {
	lines := b.lines
	b.lines = nil
	return lines
}
