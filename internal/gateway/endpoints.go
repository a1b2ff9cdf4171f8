package gateway

import (
	"errors"

	"hollymast/control"
	"hollymast/internal/eventloop"
	"hollymast/internal/fleet"
)

// errNoEndpoints is the error text for requests that arrive before the first endpoint list was read.
var errNoEndpoints = errors.New("no list of servers could be read yet")

// applyEndpointUpdate applies a full or incremental endpoint update.
func (g *Gateway) applyEndpointUpdate(now control.Micros, update fleet.Update) {
	eventloop.ApplyUpdate(now, update, g.fleet, g.core, g.pools, g.withdrawUnlessSame)
	servers, ready := g.fleet.Count()
	g.metrics.servers.Set(float64(ready))
	if !g.stopping {
		g.ready.Store(true)
	}
	g.log.Info().Int("servers", servers).Int("ready", ready).Msg("endpoint list applied")
}

// withdrawUnlessSame withdraws the unwritten calls to a server that is not ready any more, or whose address another process has.
func (g *Gateway) withdrawUnlessSame(pool *serverPool) {
	s := g.fleet.Get(pool.id)
	if s == nil || s.State != control.Ready || s.SameSince() != pool.since {
		g.withdrawCalls(pool)
	}
	if s != nil {
		pool.since = s.SameSince()
	}
}

// RefreshEndpoints makes the event loop read the endpoint source again at once.
func (g *Gateway) RefreshEndpoints() {
	g.readRequested.Store(true)
	g.loop.Post(func(control.Micros) {})
}

// SubscribeEndpoints does nothing: the gateway always follows its endpoint source.
func (g *Gateway) SubscribeEndpoints() {}
