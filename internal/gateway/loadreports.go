package gateway

import (
	"context"
	"encoding/json"
	"sync/atomic"

	"hollymast/control"
	"hollymast/internal/loadreport"
	"hollymast/internal/membership"
	"hollymast/internal/rest"
	"hollymast/internal/xds"
)

// loadReporter is the source of the load reports that are streamed to a control plane (xds.LoadSource).
type loadReporter struct {
	gateway  *Gateway
	places   atomic.Pointer[map[string]loadreport.Locality]
	services atomic.Pointer[map[string]string]
}

// Flush returns the counts since the last call from the event loop. After the last step there are none.
func (r *loadReporter) Flush(now control.Micros) (report loadreport.Report) {
	taken := make(chan loadreport.Report, 1)
	r.gateway.afterStep(func(control.Micros) { taken <- r.gateway.loadTally.Flush(now) })
	select {
	case report = <-taken:
	case <-r.gateway.loopEnded:
	}
	return report
}

// Localities returns the servers' places in the control plane's list, by address.
func (r *loadReporter) Localities() map[string]loadreport.Locality {
	if places := r.places.Load(); places != nil {
		return *places
	}
	return nil
}

// ServiceNames returns the service names of clusters.
func (r *loadReporter) ServiceNames() map[string]string {
	if services := r.services.Load(); services != nil {
		return *services
	}
	return nil
}

// update replaces the servers' places and the service names.
func (r *loadReporter) update(servers []membership.Server, services map[string]string) {
	places := make(map[string]loadreport.Locality, len(servers))
	for _, s := range servers {
		if len(s.Clusters) > 0 {
			places[s.Address] = loadreport.Locality{Cluster: s.Clusters[0], Zone: s.Zone, Cell: s.Cell, Priority: s.Priority}
		}
	}
	r.places.Store(&places)
	r.services.Store(&services)
}

// reportLoads streams load reports to the control plane until ctx ends.
func (g *Gateway) reportLoads(ctx context.Context) {
	log := func(text string) { g.log.Info().Msg("load reports: " + text) }
	transport := xds.Transport{
		Address: g.config.ControlPlane, Credentials: g.credentials(xdsConnections), Service: xds.LoadReporting,
		Seed: uint64(g.loop.Epoch) + 1, Now: g.loop.Now, OnUpdate: func(control.Micros) {}, Log: log,
	}
	if err := transport.Run(ctx, xds.NewLoadReporter(g.loadReporter, g.nodeID(), g.config.Zone)); err != nil {
		log(err.Error())
	}
}

// followersLoads is the answer of /router/loads.
type followersLoads struct {
	Followers int                        `json:"Followers"`
	Servers   []loadreport.EndpointStats `json:"Servers"`
}

// serveFollowersLoads answers with the loads that followers of this router's view report.
func (g *Gateway) serveFollowersLoads() *rest.Response {
	if g.view == nil {
		return errorResponse(409, "no view is served (serve_view)")
	}
	stats, followers := g.view.ReportedLoads()
	if stats == nil {
		stats = []loadreport.EndpointStats{}
	}
	body, err := json.Marshal(followersLoads{Followers: followers, Servers: stats})
	if err != nil {
		return errorResponse(500, err.Error())
	}
	return jsonResponse(200, body)
}
