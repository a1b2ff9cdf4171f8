package modelcheck

import (
	"fmt"
	"strings"

	"hollymast/internal/attempt"
)

// AttemptDiagram returns the states of an attempt in Mermaid's form, found by trying each step of package attempt in each state.
func AttemptDiagram() string {
	var b strings.Builder
	stages := []string{"Chosen", "Writing", "Withdrawn"}
	b.WriteString("stateDiagram-v2\n    [*] --> Chosen: the balancer chose a server\n")
	for from := attempt.Chosen; from <= attempt.Withdrawn; from++ {
		if to, ok := from.Withdraw(); ok {
			fmt.Fprintf(&b, "    %s --> %s: endpoint drained, cancelled or final answer given\n", stages[from], stages[to])
		}
		if to, ok := from.BeginWrite(true, 0, 0); ok {
			fmt.Fprintf(&b, "    %s --> %s: written, endpoints fresh and key journaled\n", stages[from], stages[to])
		}
		if _, ok := from.BeginWrite(true, 1, 0); !ok && from == attempt.Chosen {
			fmt.Fprintf(&b, "    %s --> [*]: endpoints too old or key not journaled: %s\n", stages[from], resultName(attempt.InterruptedResult(false, attempt.ClosedByPeer)))
			fmt.Fprintf(&b, "    %s --> [*]: no connection came about: %s\n", stages[from], resultName(attempt.UnconnectedResult(from, false)))
		}
	}
	fmt.Fprintf(&b, "    Withdrawn --> [*]: %s\n", resultName(attempt.UnconnectedResult(attempt.Withdrawn, false)))
	for reason, text := range []string{"broken by the server", "cancelled", "timed out", "connection not authenticated"} {
		fmt.Fprintf(&b, "    Writing --> [*]: %s: %s\n", text, resultName(attempt.InterruptedResult(true, attempt.InterruptReason(reason))))
	}
	b.WriteString("    Writing --> [*]: an answer came\n")
	return b.String()
}

func resultName(r interface{ ProvesNotRun() bool }) string {
	if r.ProvesNotRun() {
		return "proved not to have run"
	}
	return "may have run"
}
