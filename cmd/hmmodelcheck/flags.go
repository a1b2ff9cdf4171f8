package main

import (
	"fmt"
	"strings"
	"time"

	"hollymast/control"
	"hollymast/internal/modelcheck"
	"hollymast/internal/program"
)

// configFlags are the flags that describe a system.
type configFlags struct {
	Requests         int           `name:"jobs" default:"1" help:"Requests, 1 to 3."`
	Servers          int           `default:"1" help:"Servers, 1 to 3."`
	Routers          int           `default:"1" help:"Routers, 1 or 2."`
	Effects          []string      `default:"restartable" help:"Effects of the requests, assigned in turn: restartable (idempotent), fingerprinted (idempotent by key), run-once (non-idempotent)."`
	Scope            string        `default:"fleet" enum:"fleet,zone" help:"Scope in which servers know the keys of fingerprinted requests."`
	ArrivalInterval  time.Duration `name:"apart" help:"Time between the arrivals of two requests."`
	LatencyObjective time.Duration `name:"target" default:"150ms" help:"Latency objective."`
	MaxDeadline      time.Duration `name:"limit" default:"500ms" help:"Maximum deadline."`
	DedupWindow      time.Duration `name:"window" default:"300ms" help:"Dedup window: how long servers know the key of a fingerprinted request."`
	LoadCommands     bool          `name:"orders" help:"Routers send load commands; by default, requests load functions."`
	FunctionLoaded   bool          `name:"warm" default:"true" negatable:"" help:"All servers have the function loaded."`
	SlowStartServer  bool          `name:"cold-server" help:"Server 0 is in slow start."`
	Check            []string      `help:"Properties to check; default: all."`
	faultFlags
}

// faultFlags are the flags that say how often each fault may occur.
type faultFlags struct {
	CallFailures  int      `name:"breaks" help:"Number of server calls that may fail."`
	FailureModes  []string `name:"ways" help:"How they may fail: no-connection, refused, reset-before, reset-after, lost, silent; default: in any way."`
	Drains        int      `help:"Number of servers that may drain."`
	Restarts      int      `help:"Number of servers that may crash and restart."`
	ClientCancels int      `name:"leaves" help:"Number of requests that clients may cancel."`
	DelayedWrites int      `name:"stalls" help:"Number of calls that may be written late."`
	RouterStalls  int      `name:"freezes" help:"Number of times that a router may stall."`
}

// addTo copies the flags to a config.
func (f faultFlags) addTo(c *modelcheck.Config) {
	c.CallFailures, c.FailureModes = f.CallFailures, f.FailureModes
	c.Drains, c.Restarts = f.Drains, f.Restarts
	c.ClientCancels, c.DelayedWrites, c.RouterStalls = f.ClientCancels, f.DelayedWrites, f.RouterStalls
}

// config returns the system's config and the properties to check.
func (f configFlags) config() (modelcheck.Config, []modelcheck.Property, error) {
	c := modelcheck.Config{Requests: f.Requests, Servers: f.Servers, Routers: f.Routers, Effects: f.Effects, Scope: f.Scope,
		ArrivalInterval: micros(f.ArrivalInterval), LatencyObjective: micros(f.LatencyObjective), MaxDeadline: micros(f.MaxDeadline),
		DedupWindow: micros(f.DedupWindow), LoadCommands: f.LoadCommands, FunctionLoaded: f.FunctionLoaded, SlowStartServer: f.SlowStartServer}
	f.faultFlags.addTo(&c)
	if err := c.Validate(); err != nil {
		return c, nil, program.UsageError{Err: err}
	}
	properties, ok := modelcheck.SelectProperties(f.Check)
	if !ok {
		return c, nil, program.UsageError{Err: fmt.Errorf("unknown property in %s; hmmodelcheck properties lists all names", strings.Join(f.Check, ", "))}
	}
	return c, properties, nil
}

func micros(d time.Duration) control.Micros { return control.Micros(d.Microseconds()) }
