package gateway

import (
	"time"

	"hollymast/control"
	"hollymast/internal/membership"
	"hollymast/internal/xds"
)

// viewEvery is how often what we see is looked at: several times within the grace of those who follow us.
const viewInterval = 50 * time.Millisecond

// publish serves what this router sees until it has ended: copied between two turns, told outside them.
func (g *Gateway) publishView() {
	defer g.view.Close()
	ticker := time.NewTicker(viewInterval)
	defer ticker.Stop()
	copies := make(chan []xds.ServerView, 1)
	for {
		select {
		case <-ticker.C:
			if !g.ready.Load() {
				continue // no list was heard: an empty view would have followers drop all
			}
			g.afterStep(func(now control.Micros) {
				if len(copies) == 0 {
					copies <- g.viewServers()
				}
			})
		case seen := <-copies:
			if err := g.view.Publish(g.now(), seen); err != nil {
				g.log.Error().Err(err).Msg("our view can't be served")
			}
		case <-g.loopEnded:
			return
		}
	}
}

// seen gives the servers as this router sees them.
func (g *Gateway) viewServers() []xds.ServerView {
	suspects := g.core.EjectedServers()
	var out []xds.ServerView
	for _, s := range g.fleet.Servers() {
		v := xds.ServerView{Address: s.Address, Zone: s.Endpoint.Zone, Cell: s.Endpoint.Cell, Weight: s.Endpoint.Weight, StartedAt: s.Endpoint.StartedAt, Health: membership.Healthy}
		switch {
		case s.State == control.Draining:
			v.Health = membership.Draining
		case suspects[s.ID]:
			v.Health = membership.Unhealthy
		}
		if pool := g.pools[s.ID]; pool != nil {
			v.InFlight = len(pool.open)
		}
		if r, said := g.loadTally.LastReport(s.Address); said {
			v.HasLoadReport, v.Utilization, v.PendingLoads, v.PinnedMemory = true, r.Utilization, r.PendingLoads, r.PinnedMemory
		}
		out = append(out, v)
	}
	return out
}
