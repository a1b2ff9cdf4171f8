package probe

import (
	"fmt"
	"strings"
)

// Text describes a finding in plain words, a line for the server and one for each model.
func (f ServerReport) Text() string {
	var b strings.Builder
	readiness := "not ready"
	if f.Ready {
		readiness = "ready"
	}
	fmt.Fprintf(&b, "%s: %s after %d us", f.Address, readiness, f.Duration)
	if f.Problem != "" {
		fmt.Fprintf(&b, " (%s)", f.Problem)
	}
	if load := f.Load; load != nil {
		fmt.Fprintf(&b, "; %.2f of its cores in use, %g loads, %.2f pinned", load.Utilization, load.PendingLoads, load.PinnedMemory)
	}
	b.WriteString("\n")
	for _, model := range f.Models {
		fmt.Fprintf(&b, "  %s %s\n", model.Name, strings.ToLower(model.State))
	}
	if f.Request != nil {
		b.WriteString(f.Request.text())
	}
	return b.String()
}

func (r *RequestReport) text() string {
	effect := "it did not run"
	if r.MayHaveRun {
		effect = "it may have run"
	}
	message := ""
	if r.Message != "" {
		message = " (" + r.Message + ")"
	}
	return fmt.Sprintf("  job: status %d after %d us; a router takes this as %s: %s%s\n", r.Status, r.Duration, r.Result, effect, message)
}
