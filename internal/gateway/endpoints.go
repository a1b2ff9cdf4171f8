package gateway

import (
	"errors"

	"hollymast/control"
	"hollymast/internal/eventloop"
	"hollymast/internal/fleet"
)

// errNoEndpoints is the error text for requests that come before any endpoint list was read.
var errNoEndpoints = errors.New("no list of servers could be read yet")

// handleUpdate applies an endpoint update, full or incremental.
func (g *Gateway) handleUpdate(now control.Micros, update fleet.Update) {
	eventloop.ApplyUpdate(now, update, g.fleet, g.core, g.pools, g.refreshPool)
	servers, ready := g.fleet.Count()
	g.metrics.servers.Set(float64(ready))
	if !g.stopping {
		g.ready.Store(true)
	}
	g.log.Info().Int("servers", servers).Int("ready", ready).Msg("endpoint list applied")
}

// refreshPool withdraws what is not written yet to a server that is not ready any more.
func (g *Gateway) refreshPool(pool *serverPool) {
	if s := g.fleet.Get(pool.id); s == nil || s.State != control.Ready {
		g.withdrawFrom(pool)
	}
}

// RefreshEndpoints has the endpoints' source read again at once.
func (g *Gateway) RefreshEndpoints() {
	g.readRequested.Store(true)
	g.loop.Post(func(control.Micros) {})
}

// SubscribeEndpoints does nothing: the gateway always follows its source of endpoints.
func (g *Gateway) SubscribeEndpoints() {}
