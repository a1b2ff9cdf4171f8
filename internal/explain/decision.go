package explain

import (
	"fmt"
	"strings"

	"hollymast/control"
)

// Decision is a decision about a request, with what the balancer knew. Its JSON is what hmexplain prints.
type Decision struct {
	File        string                `json:"File"`
	Step        uint64                `json:"Turn"`
	Endpoints   EndpointList          `json:"List"` // that the decision is based on
	Check       *control.ReplicaCheck `json:"Check"`
	Explanation control.Explanation   `json:"Why"`
	WhatIf      string                `json:"If,omitempty"` // the change before it was asked again; empty: as recorded
}

// EndpointList identifies the endpoint list that was known: when it was received, and its number in the recording. ReceivedAt is 0 where
// that was before the recording began.
type EndpointList struct {
	ReceivedAt control.Micros `json:"Heard"`
	Version    int            `json:"Version"`
}

// actionNames are the words that hmexplain prints, by control.Action.
var actionNames = [...]string{"nothing", "forward", "hold", "reject", "fail"}

// Text describes the decision for people.
func (d Decision) Text() string {
	var b strings.Builder
	d.writeOutcome(&b)
	d.writeEndpointList(&b)
	d.writeRequest(&b)
	if d.Check != nil {
		d.writeCheck(&b)
	}
	for _, s := range d.Explanation.Servers {
		writeServer(&b, s)
	}
	return b.String()
}

func (d Decision) writeOutcome(b *strings.Builder) {
	e := d.Explanation
	fmt.Fprintf(b, "step %d at %d us: %s", d.Step, e.Now, actionNames[e.Decision.Action])
	if e.Decision.Action == control.Forward {
		fmt.Fprintf(b, " to server %x", e.Decision.Server)
	}
	if d.WhatIf != "" {
		fmt.Fprintf(b, ", if %s", d.WhatIf)
	}
	fmt.Fprintf(b, "\n  because %s\n", e.Reason)
}

func (d Decision) writeEndpointList(b *strings.Builder) {
	if d.Endpoints.ReceivedAt == 0 {
		b.WriteString("  endpoint list: as known when the recording began\n")
		return
	}
	fmt.Fprintf(b, "  endpoint list: number %d of the recording, received at %d us\n", d.Endpoints.Version, d.Endpoints.ReceivedAt)
}

func (d Decision) writeRequest(b *strings.Builder) {
	e := d.Explanation
	fmt.Fprintf(b, "  execution time %d us, latency objective %d us, B %.2f, slack left %d us (margin %d us), load time %d us, held for the function %d\n",
		e.ExecTime, e.Objective, e.B, e.Slack, e.Margin, e.LoadTime, e.Held)
}

func (d Decision) writeCheck(b *strings.Builder) {
	c := d.Check
	fmt.Fprintf(b, "  last replica check at %d us: D_f %d us = held %d x objective %d us / slots %d, against load time %d us; delay %d us against slack %d us; %d loads due\n",
		c.Now, c.QueueDelay(), c.Held, c.Objective, c.Slots, c.LoadTime, c.Delay, c.Slack, d.Explanation.LoadsDue)
}

func writeServer(b *strings.Builder, s control.ServerView) {
	fmt.Fprintf(b, "  server %x: ", s.Server)
	switch {
	case s.Loaded:
		fmt.Fprintf(b, "%d replicas loaded, %d of our attempts in flight, %d slots", s.Replicas, s.InFlight, s.Slots)
	case s.IsLoading:
		fmt.Fprintf(b, "%d replicas loading, %d of our attempts in flight, %d slots", s.Loading, s.InFlight, s.Slots)
	default:
		b.WriteString("no replica known")
	}
	fmt.Fprintf(b, "; concurrency limit %.1f, running %d, pending loads %d", s.ConcurrencyLimit, s.Running, s.PendingLoads)
	for _, state := range []struct {
		applies bool
		name    string
	}{{s.Ejected, "ejected"}, {s.Overloaded, "overloaded"}, {s.SlowStart, "in slow start"}, {s.Unusable != "", "unusable: " + string(s.Unusable)}} {
		if state.applies {
			b.WriteString("; " + state.name)
		}
	}
	if s.ReportAge >= 0 {
		fmt.Fprintf(b, "; reported %d us ago: %.2f of its cores, %g loads", s.ReportAge, s.Report.Utilization, s.Report.PendingLoads)
	}
	b.WriteString("\n")
}
