package gateway

import (
	"time"

	"hollymast/control"
	"hollymast/internal/membership"
	"hollymast/internal/xds"
)

// viewInterval is the interval at which this router's view is published: several times within its followers' grace
// period.
const viewInterval = 50 * time.Millisecond

// publishView publishes this router's view periodically until the last step. The view is copied between two steps, and
// encoded outside of them.
func (g *Gateway) publishView() {
	defer g.view.Close()
	ticker := time.NewTicker(viewInterval)
	defer ticker.Stop()
	views := make(chan []xds.ServerView, 1)
	for {
		select {
		case <-ticker.C:
			if !g.ready.Load() {
				continue // no endpoint list yet: publishing an empty view would make followers drop all servers
			}
			g.afterStep(func(control.Micros) {
				if len(views) == 0 {
					views <- g.viewServers()
				}
			})
		case servers := <-views:
			if err := g.view.Publish(g.loop.Now(), servers); err != nil {
				g.log.Error().Err(err).Msg("view can't be published")
			}
		case <-g.loopEnded:
			return
		}
	}
}

// viewServers returns the servers as this router sees them.
func (g *Gateway) viewServers() []xds.ServerView {
	ejected := g.core.EjectedServers()
	var servers []xds.ServerView
	for _, s := range g.fleet.Servers() {
		server := xds.ServerView{
			Address: s.Address, Zone: s.Endpoint.Zone, Cell: s.Endpoint.Cell, Weight: s.Endpoint.Weight,
			StartedAt: s.Endpoint.StartedAt, Health: membership.Healthy,
		}
		switch {
		case s.State == control.Draining:
			server.Health = membership.Draining
		case ejected[s.ID]:
			server.Health = membership.Unhealthy
		}
		if pool := g.pools[s.ID]; pool != nil {
			server.InFlight = len(pool.inFlight)
		}
		if report, ok := g.loadCollector.LastReport(s.Address); ok {
			server.HasLoadReport, server.Utilization = true, report.Utilization
			server.PendingLoads, server.PinnedMemory = report.PendingLoads, report.PinnedMemory
		}
		servers = append(servers, server)
	}
	return servers
}
