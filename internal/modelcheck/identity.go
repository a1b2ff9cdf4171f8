package modelcheck

import (
	"slices"

	"hollymast/control"
)

// firstPort is the port of server 0 in worlds without a recorded state; the next ones follow.
const firstPort = 1000

// loopback is the address of all of their servers, 127.0.0.1.
const loopback = control.ServerID(0x7f000001)

// serverID and serverIndex turn an index into State.Servers into a router's id and back.
func (c *Config) serverID(server int) control.ServerID {
	if c.RecordedState != nil {
		return c.RecordedState.Servers[server]
	}
	return loopback<<16 | control.ServerID(firstPort+server)
}

func (c *Config) serverIndex(id control.ServerID) int {
	if c.RecordedState != nil {
		return slices.Index(c.RecordedState.Servers, id)
	}
	return int(id&0xffff) - firstPort
}

// requestID and requestIndex turn an index into State.Requests into a router's id and back.
func (c *Config) requestID(request int) control.RequestID {
	if c.RecordedState != nil {
		return c.RecordedState.Requests[request]
	}
	return control.RequestID(request + 1)
}

func (c *Config) requestIndex(id control.RequestID) int {
	if c.RecordedState != nil {
		return slices.Index(c.RecordedState.Requests, id)
	}
	return int(id) - 1
}

// router is the router that a request's client sends it to.
func (c *Config) router(request int) int { return request % c.Routers }

// class is a request's class.
func (c *Config) class(request int) control.Class {
	if m := c.RecordedState; m != nil {
		return m.Core.Balancer.Deployment.Classes[m.Core.Requests[request].Request.Request.Class]
	}
	class := control.Class{LatencyObjective: c.LatencyObjective, MaxDeadline: c.MaxDeadline, Idempotency: effectByName[c.Effects[request%len(c.Effects)]]}
	if class.Idempotency == control.IdempotentByKey {
		class.DedupWindow = c.DedupWindow
		if c.Scope == "zone" {
			class.DedupScope = control.OneZone
		}
	}
	return class
}

func (c *Config) effect(request int) control.Idempotency { return c.class(request).Idempotency }

// sameDedupScope reports whether two servers know the same idempotency keys of a request's class.
func (c *Config) sameDedupScope(request, a, b int) bool {
	first, second := c.basicEndpoint(a), c.basicEndpoint(b)
	switch c.class(request).DedupScope {
	case control.OneZone:
		return first.Zone == second.Zone
	case control.OneCell:
		return first.Cell == second.Cell
	}
	return true
}

// basicEndpoint is a server's endpoint without what changes.
func (c *Config) basicEndpoint(server int) control.Endpoint {
	if c.RecordedState != nil {
		return c.RecordedState.Core.Balancer.Servers[server].Endpoint
	}
	group := 1 + server%2
	return control.Endpoint{Server: c.serverID(server), Zone: control.ZoneID(group), Cell: control.CellID(group), Weight: 1}
}

func (c *Config) endpoint(server int, state control.ServerState, startedAt control.Micros) control.Endpoint {
	e := c.basicEndpoint(server)
	e.State, e.StartedAt = state, startedAt
	return e
}
