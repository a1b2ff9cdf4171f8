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

// loadReporter provides the load reports that are streamed to a control plane. It implements xds.LoadSource.
type loadReporter struct {
	gateway    *Gateway
	localities atomic.Pointer[map[string]loadreport.Locality]
	services   atomic.Pointer[map[string]string]
}

// Flush returns the counts since the last call; the event loop collects them. After the last step they are empty.
func (r *loadReporter) Flush(now control.Micros) (report loadreport.Report) {
	flushed := make(chan loadreport.Report, 1)
	r.gateway.afterStep(func(control.Micros) { flushed <- r.gateway.loadCollector.Flush(now) })
	select {
	case report = <-flushed:
	case <-r.gateway.loopEnded:
	}
	return report
}

// Localities returns the servers' localities in the control plane's endpoint list, by address.
func (r *loadReporter) Localities() map[string]loadreport.Locality {
	if localities := r.localities.Load(); localities != nil {
		return *localities
	}
	return nil
}

// ServiceNames returns the service names of the clusters, by cluster.
func (r *loadReporter) ServiceNames() map[string]string {
	if services := r.services.Load(); services != nil {
		return *services
	}
	return nil
}

// update replaces the localities and the service names.
func (r *loadReporter) update(servers []membership.Server, services map[string]string) {
	localities := make(map[string]loadreport.Locality, len(servers))
	for _, s := range servers {
		if len(s.Clusters) > 0 {
			localities[s.Address] = loadreport.Locality{Cluster: s.Clusters[0], Zone: s.Zone, Cell: s.Cell, Priority: s.Priority}
		}
	}
	r.localities.Store(&localities)
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

// followerLoads is the response body of /router/loads.
type followerLoads struct {
	Followers int                        `json:"Followers"`
	Servers   []loadreport.EndpointStats `json:"Servers"`
}

// serveFollowerLoads answers with the load reports from the followers of this router's view.
func (g *Gateway) serveFollowerLoads() *rest.Response {
	if g.view == nil {
		return errorResponse(409, "no view is served (serve_view)")
	}
	stats, followers := g.view.ReportedLoads()
	if stats == nil {
		stats = []loadreport.EndpointStats{}
	}
	body, err := json.Marshal(followerLoads{Followers: followers, Servers: stats})
	if err != nil {
		return errorResponse(500, err.Error())
	}
	return jsonResponse(200, body)
}
