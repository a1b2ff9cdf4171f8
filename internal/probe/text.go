package probe

import (
	"fmt"
	"strings"
)

// Text returns the report as readable text: a line for the server, one for each model and one for the request, if any.
func (r ServerReport) Text() string {
	var b strings.Builder
	readiness := "not ready"
	if r.Ready {
		readiness = "ready"
	}
	fmt.Fprintf(&b, "%s: %s after %d us", r.Address, readiness, r.Duration)
	if r.Problem != "" {
		fmt.Fprintf(&b, " (%s)", r.Problem)
	}
	if load := r.Load; load != nil {
		fmt.Fprintf(&b, "; %.2f of its cores in use, %g loads, %.2f pinned", load.Utilization, load.PendingLoads, load.PinnedMemory)
	}
	b.WriteString("\n")
	for _, model := range r.Models {
		fmt.Fprintf(&b, "  %s %s\n", model.Name, strings.ToLower(model.State))
	}
	if r.Request != nil {
		b.WriteString(r.Request.text())
	}
	return b.String()
}

func (r *RequestReport) text() string {
	execution := "it did not run"
	if r.MayHaveRun {
		execution = "it may have run"
	}
	message := ""
	if r.Message != "" {
		message = " (" + r.Message + ")"
	}
	return fmt.Sprintf("  job: status %d after %d us; a router takes this as %s: %s%s\n", r.Status, r.Duration, r.Result, execution, message)
}
