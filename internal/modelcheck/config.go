// Package modelcheck is an explicit-state model checker for routers. It explores small systems of requests, servers and
// routers through all orderings of events and faults, and checks properties in every state. Routers run the production
// code of packages control, core and attempt; servers, clients and the endpoint list are modelled as plain state. Apart
// from an exploration's own files it does no I/O.
package modelcheck

import (
	"errors"
	"fmt"
	"slices"

	"hollymast/control"
)

// Config describes the system to check: its size, its settings and how often each fault may occur. Times are in
// microseconds. The tags are the names in stored data.
type Config struct {
	Requests         int            `json:"Jobs"`
	Servers          int            `json:"Servers"`
	Routers          int            `json:"Routers"`
	Effects          []string       `json:"Effects"` // assigned to the requests in turn: restartable, fingerprinted, run-once
	Scope            string         `json:"Scope"`   // dedup scope of fingerprinted requests: fleet or zone; servers alternate between two zones
	ArrivalInterval  control.Micros `json:"Apart"`   // between two requests; 0: all arrive at once
	LatencyObjective control.Micros `json:"Target"`
	MaxDeadline      control.Micros `json:"Limit"`
	DedupWindow      control.Micros `json:"Window"`
	LoadCommands     bool           `json:"Orders"`     // routers send load commands; otherwise a request loads its function
	FunctionLoaded   bool           `json:"Warm"`       // on all servers, from the beginning
	SlowStartServer  bool           `json:"ColdServer"` // server 0 has just started and is in slow start

	CallFailures  int      `json:"Breaks"`   // server calls that may fail, each in one of FailureModes
	FailureModes  []string `json:"Ways"`     // no-connection, refused, reset-before, reset-after, lost, silent; empty: all
	Drains        int      `json:"Drains"`   // of servers
	Restarts      int      `json:"Restarts"` // of servers, after a crash
	ClientCancels int      `json:"Leaves"`   // requests that their clients may cancel
	DelayedWrites int      `json:"Stalls"`   // chosen calls that may be written late
	RouterStalls  int      `json:"Freezes"`  // pauses of routers

	RecordedState *RecordedState `json:"Moment,omitempty"` // initial state; replaces all settings but the faults
}

// MinimalConfig is the smallest system: one request, one server, one router and no faults.
var MinimalConfig = Config{Requests: 1, Servers: 1, Routers: 1, Effects: []string{"restartable"}, Scope: "fleet", LatencyObjective: 150_000, MaxDeadline: 500_000,
	DedupWindow: 300_000, FunctionLoaded: true}

// Upper bounds of a system's size: the number of states grows exponentially with each of them.
const (
	maxRequests = 3
	maxServers  = 3
	maxRouters  = 2
)

// errNoEffect is returned for a config without effects.
var errNoEffect = errors.New("no effects are configured for the requests")

// Validate returns an error if the config is invalid. A config with a recorded state is always valid.
func (c *Config) Validate() error {
	if c.RecordedState != nil {
		return nil
	}
	switch {
	case c.Requests < 1 || c.Requests > maxRequests || c.Servers < 1 || c.Servers > maxServers || c.Routers < 1 || c.Routers > maxRouters:
		return fmt.Errorf("out of range: a system has 1 to %d requests, 1 to %d servers and 1 to %d routers", maxRequests, maxServers, maxRouters)
	case c.LatencyObjective <= 0 || c.MaxDeadline <= c.LatencyObjective || c.DedupWindow < 0:
		return fmt.Errorf("need 0 < latency objective (%d us) < maximum deadline (%d us) and dedup window (%d us) >= 0", c.LatencyObjective, c.MaxDeadline, c.DedupWindow)
	case c.Scope != "fleet" && c.Scope != "zone":
		return fmt.Errorf("scope %q is neither fleet nor zone", c.Scope)
	case len(c.Effects) == 0:
		return errNoEffect
	}
	for _, name := range c.Effects {
		if _, known := effectByName[name]; !known {
			return fmt.Errorf("unknown effect %q", name)
		}
	}
	for _, name := range c.FailureModes {
		if !slices.Contains(outcomeNames[1:], name) {
			return fmt.Errorf("unknown failure mode %q: want one of %v", name, outcomeNames[1:])
		}
	}
	return nil
}

// Names of effects in configs, on the command line and in descriptions of steps.
var (
	effectByName = map[string]control.Idempotency{"restartable": control.Idempotent, "fingerprinted": control.IdempotentByKey, "run-once": control.NonIdempotent}
	effectNames  = [...]string{"restartable", "fingerprinted", "run-once"}
)

// Settings of the deployment that are the same in all configs. The drain grace and the delay of endpoint updates are
// those of a typical deployment.
const (
	epoch             = control.Micros(1_000_000_000) // initial time; well above 0, which means "long ago"
	drainGrace        = control.Micros(500_000)
	updateDelay       = control.Micros(50_000)
	answerMargin      = control.Micros(20_000) // reserved for the response's way to the client
	loadTimeout       = control.Micros(1_000_000)
	slowStartDuration = control.Micros(2_000_000)
	slowStartInitial  = 0.25
	overloadWindow    = control.Micros(1_000_000)
	overloadFactor    = 2.0
	serverRate        = 10.0 // requests per second that a server can handle at full capacity
)

// functionID is the only function of the system.
const functionID = control.FunctionID(7)

// deployment returns a router's configuration.
func (c *Config) deployment(router int) control.Deployment {
	d := control.Deployment{Routers: c.Routers, RouterIndex: router, Tick: 4000, MaxAttempts: 3, MaxRetryAfter: 2_000_000, SupportsCancel: true, ClientsMarkRetries: true,
		SlowStartInitial: slowStartInitial, SlowStartDuration: slowStartDuration, OverloadWindow: overloadWindow, OverloadFactor: overloadFactor,
		KeepAlive: 60_000_000, SupportsLoadCommands: c.LoadCommands, LoadsOnMiss: !c.LoadCommands}
	for i := range c.Effects {
		d.Classes = append(d.Classes, c.class(i))
	}
	return d
}
