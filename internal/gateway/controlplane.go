package gateway

import (
	"context"
	"fmt"

	"hollymast/control"
	"hollymast/internal/membership"
	"hollymast/internal/xds"
)

// nodeID names this router to control planes.
func (g *Gateway) nodeID() string {
	return fmt.Sprintf("hollymast-%d", g.config.Deployment.RouterIndex)
}

// followControlPlane follows an xDS control plane until ctx ends. The gateway accepts no requests before its first list.
func (g *Gateway) followControlPlane(ctx context.Context) {
	members := membership.New(membership.DefaultBounds)
	client := xds.NewClient(members, g.nodeID(), g.config.Zone, g.config.XDSVariant, xds.DefaultBounds)
	transport := xds.Transport{
		Address: g.config.ControlPlane, Credentials: g.credentials(xdsConnections), Variant: g.config.XDSVariant,
		Seed: uint64(g.loop.Epoch), Now: g.loop.Now, Refresh: g.sourceReads, GracePeriod: g.config.GracePeriod,
		OnComplete: func(asOf control.Micros) { g.sourceCompleteAsOf.Store(int64(asOf)) },
		OnUpdate: func(now control.Micros) {
			update, changed := members.TakeUpdate(now)
			if !changed {
				return
			}
			if g.loadReporter != nil {
				g.loadReporter.update(members.Servers(), client.ServiceNames())
			}
			g.loop.PostEndpoints(func(now control.Micros) { g.handleUpdate(now, update) })
		},
		Log: func(text string) { g.log.Info().Msg("xds: " + text) },
	}
	if err := transport.Run(ctx, client); err != nil {
		g.log.Error().Err(err).Msg("xds: connection to the control plane can't be set up")
	}
}
