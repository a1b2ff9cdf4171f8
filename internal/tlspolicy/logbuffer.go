package tlspolicy

import "fmt"

// notes are lines for operators that nobody has taken yet.
type logBuffer struct{ lines []string }

func (n *logBuffer) logf(format string, args ...any) {
	n.lines = append(n.lines, fmt.Sprintf(format, args...))
}

// Notes gives what is to be told operators since the last call.
func (n *logBuffer) LogLines() []string {
	lines := n.lines
	n.lines = nil
	return lines
}
