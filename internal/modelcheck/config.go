// Package modelcheck takes small worlds of requests, servers and routers through all orderings of what can happen in them. What
// decides is the real code: control, core and attempt. Around it stand servers, clients and an endpoint list as plain state. It is
// free of I/O but for saved traces and the exploration's own files.
package modelcheck

import (
	"errors"
	"fmt"
	"slices"

	"hollymast/control"
)

// Config describes a world: what there is, and how often what may go wrong. Times are in microseconds. Its stored form keeps
// earlier names.
type Config struct {
	Requests         int            `json:"Jobs"`
	Servers          int            `json:"Servers"`
	Routers          int            `json:"Routers"`
	Effects          []string       `json:"Effects"` // of the requests, in turn: restartable, fingerprinted, run-once
	Scope            string         `json:"Scope"`   // of fingerprinted requests: fleet or zone; servers are in two zones by turns
	ArrivalInterval  control.Micros `json:"Apart"`   // between two requests; 0: all at once
	LatencyObjective control.Micros `json:"Target"`
	MaxDeadline      control.Micros `json:"Limit"`
	DedupWindow      control.Micros `json:"Window"`
	LoadCommands     bool           `json:"Orders"`     // loads are commanded; else requests load functions
	FunctionLoaded   bool           `json:"Warm"`       // on all servers
	SlowStartServer  bool           `json:"ColdServer"` // server 0 has just started

	CallFailures  int      `json:"Breaks"` // server calls that fail, each in one of the modes
	FailureModes  []string `json:"Ways"`   // no-connection, refused, reset-before, reset-after, lost, silent; none: all
	Drains        int      `json:"Drains"`
	Restarts      int      `json:"Restarts"` // of servers
	ClientCancels int      `json:"Leaves"`
	DelayedWrites int      `json:"Stalls"`  // chosen calls that are not written at once
	RouterStalls  int      `json:"Freezes"` // routers that do nothing for a while

	RecordedState *RecordedState `json:"Moment,omitempty"` // to begin with, in the place of all but the faults
}

// MinimalConfig is the world that others are made from: one request, one server, one router, nothing goes wrong.
var MinimalConfig = Config{Requests: 1, Servers: 1, Routers: 1, Effects: []string{"restartable"}, Scope: "fleet", LatencyObjective: 150_000, MaxDeadline: 500_000,
	DedupWindow: 300_000, FunctionLoaded: true}

// The bounds of a world: the number of states grows exponentially with each.
const (
	maxRequests = 3
	maxServers  = 3
	maxRouters  = 2
)

// errNoEffect is the error of a world whose requests have no effect to take.
var errNoEffect = errors.New("no effect is given")

// Validate returns what is wrong with a config.
func (c *Config) Validate() error {
	if c.RecordedState != nil {
		return nil
	}
	switch {
	case c.Requests < 1 || c.Requests > maxRequests || c.Servers < 1 || c.Servers > maxServers || c.Routers < 1 || c.Routers > maxRouters:
		return fmt.Errorf("a world has 1 to %d requests, 1 to %d servers and 1 to %d routers", maxRequests, maxServers, maxRouters)
	case c.LatencyObjective <= 0 || c.MaxDeadline <= c.LatencyObjective || c.DedupWindow < 0:
		return fmt.Errorf("a latency objective of %d us, a maximal deadline of %d us, a window of %d us", c.LatencyObjective, c.MaxDeadline, c.DedupWindow)
	case c.Scope != "fleet" && c.Scope != "zone":
		return fmt.Errorf("scope %q is neither fleet nor zone", c.Scope)
	case len(c.Effects) == 0:
		return errNoEffect
	}
	for _, name := range c.Effects {
		if _, known := effectByName[name]; !known {
			return fmt.Errorf("%q is no effect", name)
		}
	}
	for _, name := range c.FailureModes {
		if !slices.Contains(outcomeNames[1:], name) {
			return fmt.Errorf("%q is no failure mode: those are %v", name, outcomeNames[1:])
		}
	}
	return nil
}

// The names of effects in configs, on the command line and in descriptions.
var (
	effectByName = map[string]control.Idempotency{"restartable": control.Idempotent, "fingerprinted": control.IdempotentByKey, "run-once": control.NonIdempotent}
	effectNames  = [...]string{"restartable", "fingerprinted", "run-once"}
)

// The deployment's settings that no config changes. The grace and the delay of endpoint updates are those of a usual deployment.
const (
	epoch             = control.Micros(1_000_000_000) // when worlds begin: long after 0, which means long ago
	drainGrace        = control.Micros(500_000)
	updateDelay       = control.Micros(50_000)
	answerMargin      = control.Micros(20_000) // kept for an answer's way to the client
	loadTimeout       = control.Micros(1_000_000)
	slowStartDuration = control.Micros(2_000_000)
	slowStartInitial  = 0.25
	overloadWindow    = control.Micros(1_000_000)
	overloadFactor    = 2.0
	serverRate        = 10.0 // requests a second that a server bears at full capacity
)

// functionID is the one function of a world.
const functionID = control.FunctionID(7)

// deployment is what a router is configured with.
func (c *Config) deployment(router int) control.Deployment {
	d := control.Deployment{Routers: c.Routers, RouterIndex: router, Tick: 4000, MaxAttempts: 3, MaxRetryAfter: 2_000_000, SupportsCancel: true, ClientsMarkRetries: true,
		SlowStartInitial: slowStartInitial, SlowStartDuration: slowStartDuration, OverloadWindow: overloadWindow, OverloadFactor: overloadFactor,
		KeepAlive: 60_000_000, SupportsLoadCommands: c.LoadCommands, LoadsOnMiss: !c.LoadCommands}
	for i := range c.Effects {
		d.Classes = append(d.Classes, c.class(i))
	}
	return d
}
