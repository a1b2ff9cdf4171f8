package explain

import (
	"fmt"
	"strconv"
	"strings"

	"hollymast/control"
	"hollymast/internal/core"
)

// ChangeKind is what a Change makes different about a server.
type ChangeKind string

// The kinds of changes, as they are written.
const (
	ChangeDrain    ChangeKind = "drain"
	ChangeReady    ChangeKind = "ready"     // and neither ejected nor backing off
	ChangeAddSlot  ChangeKind = "slot"      // one more than its concurrency limit
	ChangeNoReport ChangeKind = "no-report" // of its load
)

// Change is made to a state before a decision is asked again.
type Change struct {
	Kind   ChangeKind
	Server control.ServerID
}

// ParseChange parses a change as drain=SERVER, ready=SERVER, slot=SERVER or no-report=SERVER, with the server's id in hex.
func ParseChange(text string) (Change, error) {
	kind, id, ok := strings.Cut(text, "=")
	n, err := strconv.ParseUint(id, 16, 64)
	if !ok || err != nil {
		return Change{}, fmt.Errorf("%q is no change: drain, ready, slot or no-report, then = and a server's id in hex", text)
	}
	switch k := ChangeKind(kind); k {
	case ChangeDrain, ChangeReady, ChangeAddSlot, ChangeNoReport:
		return Change{k, control.ServerID(n)}, nil
	}
	return Change{}, fmt.Errorf("%q is none of drain, ready, slot, no-report", kind)
}

// String is what ParseChange parses.
func (c Change) String() string { return fmt.Sprintf("%s=%x", string(c.Kind), uint64(c.Server)) }

// apply makes the change in a snapshot.
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
	return fmt.Errorf("server %x is not known at that time", c.Server)
}
