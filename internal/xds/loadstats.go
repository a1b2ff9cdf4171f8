package xds

import (
	"hollymast/control"
	"hollymast/internal/loadreport"
	"net"
	"strconv"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
)

// The names of a server's figures, as ORCA has its named metrics. Those of utilisation are its own.
const (
	utilMetric   = "cpu_utilization"
	loadsMetric  = "named_metrics.loads"
	pinnedMetric = "named_metrics.pinned"
)

func localityStats(at loadreport.Locality, lines []loadreport.EndpointStats, each bool) *endpoint.UpstreamLocalityStats {
	s := &endpoint.UpstreamLocalityStats{Locality: &core.Locality{Zone: at.Zone, SubZone: at.Cell}, Priority: at.Priority}
	var f loadreport.LoadMetrics
	for _, l := range lines {
		s.TotalIssuedRequests += l.Issued
		s.TotalSuccessfulRequests += l.Succeeded
		s.TotalErrorRequests += l.Failed
		s.TotalRequestsInProgress += l.InFlight
		f.Reports, f.Utilization, f.PendingLoads, f.PinnedMemory = f.Reports+l.Reports, f.Utilization+l.Utilization, f.PendingLoads+l.PendingLoads, f.PinnedMemory+l.PinnedMemory
		a := socketAddress(l.Address)
		if !each || a == nil {
			continue
		}
		s.UpstreamEndpointStats = append(s.UpstreamEndpointStats, &endpoint.UpstreamEndpointStats{Address: a, TotalIssuedRequests: l.Issued,
			TotalSuccessfulRequests: l.Succeeded, TotalErrorRequests: l.Failed, TotalRequestsInProgress: l.InFlight, LoadMetricStats: loadMetrics(l.LoadMetrics)})
	}
	s.LoadMetricStats = loadMetrics(f)
	return s
}

func loadMetrics(f loadreport.LoadMetrics) []*endpoint.EndpointLoadMetricStats {
	if f.Reports == 0 {
		return nil
	}
	var out []*endpoint.EndpointLoadMetricStats
	for _, m := range []struct {
		name  string
		value float64
	}{{utilMetric, f.Utilization}, {loadsMetric, f.PendingLoads}, {pinnedMetric, f.PinnedMemory}} {
		out = append(out, &endpoint.EndpointLoadMetricStats{MetricName: m.name, NumRequestsFinishedWithMetric: f.Reports, TotalMetricValue: m.value})
	}
	return out
}

// readReport reads what a follower tells of servers, of endpoints alone: sums can't be added to those of others by server.
func parseReport(cs []*endpoint.ClusterStats, now control.Micros) loadreport.Report {
	r := loadreport.Report{To: now}
	for _, c := range cs {
		for _, l := range c.GetUpstreamLocalityStats() {
			for _, e := range l.GetUpstreamEndpointStats() {
				a := e.GetAddress().GetSocketAddress()
				if a == nil {
					continue
				}
				line := loadreport.EndpointStats{Address: net.JoinHostPort(a.GetAddress(), strconv.FormatUint(uint64(a.GetPortValue()), 10)), InFlight: e.GetTotalRequestsInProgress(),
					Counts: loadreport.Counts{Issued: e.GetTotalIssuedRequests(), Succeeded: e.GetTotalSuccessfulRequests(), Failed: e.GetTotalErrorRequests()}}
				for _, m := range e.GetLoadMetricStats() {
					switch line.Reports = max(line.Reports, m.GetNumRequestsFinishedWithMetric()); m.GetMetricName() {
					case utilMetric:
						line.Utilization = m.GetTotalMetricValue()
					case loadsMetric:
						line.PendingLoads = m.GetTotalMetricValue()
					case pinnedMetric:
						line.PinnedMemory = m.GetTotalMetricValue()
					}
				}
				r.Endpoints = append(r.Endpoints, line)
			}
		}
	}
	return r
}

// socketAddress gives an address in the protocol's form; nil: it has no number for a port.
func socketAddress(address string) *core.Address {
	host, port, err := net.SplitHostPort(address)
	n, perr := strconv.ParseUint(port, 10, 16)
	if err != nil || perr != nil {
		return nil
	}
	return &core.Address{Address: &core.Address_SocketAddress{SocketAddress: &core.SocketAddress{Address: host,
		PortSpecifier: &core.SocketAddress_PortValue{PortValue: uint32(n)}}}}
}
