package explain

import (
	"fmt"
	"strconv"
	"strings"

	"hollymast/control"
	"hollymast/internal/core"
)

// ChangeKind says what a Change changes about a server.
type ChangeKind string

// The kinds of changes, as they are written in arguments and output.
const (
	ChangeDrain    ChangeKind = "drain"     // the server drains
	ChangeReady    ChangeKind = "ready"     // the server is ready, and neither ejected nor backing off
	ChangeAddSlot  ChangeKind = "slot"      // its concurrency limit is higher by one
	ChangeNoReport ChangeKind = "no-report" // its load report is missing
)

// Change is a hypothetical change to the state of a server, made before a decision is repeated.
type Change struct {
	Kind   ChangeKind
	Server control.ServerID
}

// ParseChange parses a change as drain=SERVER, ready=SERVER, slot=SERVER or no-report=SERVER, with the server's id in hex.
func ParseChange(text string) (Change, error) {
	kind, id, ok := strings.Cut(text, "=")
	n, err := strconv.ParseUint(id, 16, 64)
	if !ok || err != nil {
		return Change{}, fmt.Errorf("%q is not a change: want drain, ready, slot or no-report, followed by = and a server's id in hex", text)
	}
	switch k := ChangeKind(kind); k {
	case ChangeDrain, ChangeReady, ChangeAddSlot, ChangeNoReport:
		return Change{k, control.ServerID(n)}, nil
	}
	return Change{}, fmt.Errorf("unknown change %q: want drain, ready, slot or no-report", kind)
}

// String returns the change in the form that ParseChange accepts.
func (c Change) String() string { return fmt.Sprintf("%s=%x", string(c.Kind), uint64(c.Server)) }

// apply makes the change to a snapshot.
func (c Change) apply(s *core.Snapshot) error {
	for i := range s.Balancer.Servers {
		server := &s.Balancer.Servers[i]
		if server.Endpoint.Server != c.Server {
			continue
		}
		switch c.Kind {
		case ChangeDrain:
			server.Endpoint.State = control.Draining
		case ChangeReady:
			server.Endpoint.State, server.Ejected, server.BackoffUntil = control.Ready, false, 0
		case ChangeAddSlot:
			server.ConcurrencyLimit++
		case ChangeNoReport:
			server.Report, server.ReportedAt = control.LoadReport{}, 0
		}
		return nil
	}
	return fmt.Errorf("server %x is not known at the time of the decision", c.Server)
}
