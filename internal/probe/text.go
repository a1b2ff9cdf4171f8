package probe

import (
	"fmt"
	"strings"
)

// Text tells a finding in plain words.
func (f Finding) Text() string {
	var b strings.Builder
	word := "not ready"
	if f.Ready {
		word = "ready"
	}
	fmt.Fprintf(&b, "%s: %s after %d us", f.Address, word, f.Duration)
	if f.Problem != "" {
		fmt.Fprintf(&b, " (%s)", f.Problem)
	}
	if l := f.Load; l != nil {
		fmt.Fprintf(&b, "; %.2f of its cores in use, %g loads, %.2f pinned", l.Utilization, l.PendingLoads, l.PinnedMemory)
	}
	b.WriteString("\n")
	for _, s := range f.Models {
		fmt.Fprintf(&b, "  %s %s\n", s.Name, strings.ToLower(s.State))
	}
	if r := f.Run; r != nil {
		word := "it did not run"
		if r.MayHaveRun {
			word = "it may have run"
		}
		fmt.Fprintf(&b, "  job: status %d after %d us; a router takes this as %s: %s", r.Status, r.Duration, r.Result, word)
		if r.Message != "" {
			fmt.Fprintf(&b, " (%s)", r.Message)
		}
		b.WriteString("\n")
	}
	return b.String()
}
