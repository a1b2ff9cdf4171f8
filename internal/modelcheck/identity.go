package modelcheck

import (
	"slices"

	"hollymast/control"
)

// firstPort is the port of server 0 if there is no recorded state; the other servers have the following ports.
const firstPort = 1000

// loopback is the address of these servers, 127.0.0.1.
const loopback = control.ServerID(0x7f000001)

// serverID returns the ID by which routers know State.Servers[server]; serverIndex is the inverse.
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

// requestID returns the ID by which routers know State.Requests[request]; requestIndex is the inverse.
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

// routerIndex returns the router that receives a request.
func (c *Config) routerIndex(request int) int { return request % c.Routers }

// class returns a request's class.
func (c *Config) class(request int) control.Class {
	if recorded := c.RecordedState; recorded != nil {
		return recorded.Core.Balancer.Deployment.Classes[recorded.Core.Requests[request].Request.Request.Class]
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

// sameDedupScope reports whether two servers share the idempotency keys of a request's class.
func (c *Config) sameDedupScope(request, a, b int) bool {
	first, second := c.staticEndpoint(a), c.staticEndpoint(b)
	switch c.class(request).DedupScope {
	case control.OneZone:
		return first.Zone == second.Zone
	case control.OneCell:
		return first.Cell == second.Cell
	}
	return true
}

// staticEndpoint returns a server's endpoint without its state and start time, which change.
func (c *Config) staticEndpoint(server int) control.Endpoint {
	if c.RecordedState != nil {
		return c.RecordedState.Core.Balancer.Servers[server].Endpoint
	}
	group := 1 + server%2
	return control.Endpoint{Server: c.serverID(server), Zone: control.ZoneID(group), Cell: control.CellID(group), Weight: 1}
}

func (c *Config) endpoint(server int, state control.ServerState, startedAt control.Micros) control.Endpoint {
	e := c.staticEndpoint(server)
	e.State, e.StartedAt = state, startedAt
	return e
}
