package modelcheck

import (
	"fmt"
	"strings"

	"hollymast/internal/attempt"
)

// Diagram gives the states of an execution and of a job's answer in Mermaid's form, found by trying each step of package attempt in each state.
func Diagram() string {
	var b strings.Builder
	stages := []string{"Chosen", "Writing", "Withdrawn"}
	b.WriteString("stateDiagram-v2\n    [*] --> Chosen: the module chose a server\n")
	for from := attempt.Chosen; from <= attempt.Withdrawn; from++ {
		if to, ok := from.Withdraw(); ok {
			fmt.Fprintf(&b, "    %s --> %s: drain notice, call-off or final answer\n", stages[from], stages[to])
		}
		if to, ok := from.Write(true, 0, 0); ok {
			fmt.Fprintf(&b, "    %s --> %s: written, fresh and kept\n", stages[from], stages[to])
		}
		if _, ok := from.Write(true, 1, 0); !ok && from == attempt.Chosen {
			fmt.Fprintf(&b, "    %s --> [*]: too old or not kept: %s\n", stages[from], resultName(attempt.BrokenResult(false, attempt.ByPeer)))
			fmt.Fprintf(&b, "    %s --> [*]: no connection came about: %s\n", stages[from], resultName(attempt.UndialledResult(from, false)))
		}
	}
	fmt.Fprintf(&b, "    Withdrawn --> [*]: %s\n", resultName(attempt.UndialledResult(attempt.Withdrawn, false)))
	for cut, why := range []string{"broken by the server", "called off", "its time is up", "not believed"} {
		fmt.Fprintf(&b, "    Writing --> [*]: %s: %s\n", why, resultName(attempt.BrokenResult(true, attempt.BreakReason(cut))))
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
