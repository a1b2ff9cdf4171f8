package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"

	"hollymast/control"
	"hollymast/internal/loadreport"
	"hollymast/internal/membership"
	"hollymast/internal/rest"
	"hollymast/internal/xds"
)

// counted lends the turn's tally to the stream that reports it.
type loadReporter struct {
	gateway  *Gateway
	places   atomic.Pointer[map[string]loadreport.Locality]
	services atomic.Pointer[map[string]string]
}

// Take has the turn give its counts. Once the last turn is over there are none.
func (c *loadReporter) Take(now control.Micros) (r loadreport.Report) {
	taken := make(chan loadreport.Report, 1)
	c.gateway.afterStep(func(control.Micros) { taken <- c.gateway.loadTally.Flush(now) })
	select {
	case r = <-taken:
	case <-c.gateway.loopEnded:
	}
	return r
}

// Places tells where the servers stand in the control plane's list.
func (c *loadReporter) Places() map[string]loadreport.Locality {
	if p := c.places.Load(); p != nil {
		return *p
	}
	return nil
}

// Services tells under which names clusters' endpoints are asked for.
func (c *loadReporter) Services() map[string]string {
	if p := c.services.Load(); p != nil {
		return *p
	}
	return nil
}

// listed takes in where servers stand now.
func (c *loadReporter) update(facts []membership.Server, services map[string]string) {
	places := make(map[string]loadreport.Locality, len(facts))
	for _, f := range facts {
		if len(f.Clusters) > 0 {
			places[f.Address] = loadreport.Locality{Cluster: f.Clusters[0], Zone: f.Zone, Cell: f.Cell, Priority: f.Priority}
		}
	}
	c.places.Store(&places)
	c.services.Store(&services)
}

// report reports loads to the control plane until the context ends.
func (g *Gateway) reportLoads(ctx context.Context) {
	note := func(text string) { g.log.Info().Msg("load reports: " + text) }
	source := xds.Transport{Address: g.config.ControlPlane, Credentials: g.credentials(xdsConnections), Service: xds.LoadReporting, Seed: uint64(g.epoch) + 1, Now: g.now,
		OnUpdate: func(control.Micros) {}, Log: note}
	if err := source.Run(ctx, xds.NewLoadReporter(g.loadReporter, fmt.Sprintf("hollymast-%d", g.config.Deployment.Number), g.config.Zone)); err != nil {
		note(err.Error())
	}
}

// others answers what those who follow our view report.
func (g *Gateway) followersReports() *rest.Response {
	if g.view == nil {
		return errorResponse(409, "no view is served (serve_view)")
	}
	lines, nodes := g.view.ReportedLoads()
	if lines == nil {
		lines = []loadreport.EndpointStats{}
	}
	b, err := json.Marshal(struct {
		Followers int
		Servers   []loadreport.EndpointStats
	}{nodes, lines})
	if err != nil {
		return errorResponse(500, err.Error())
	}
	return jsonResponse(200, b)
}
