package xds

import (
	"hollymast/control"
	"hollymast/internal/loadreport"
	"net"
	"strconv"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
)

// The names of the load metrics. Utilization has a field of its own in ORCA; the others are ORCA named metrics.
const (
	utilizationMetric = "cpu_utilization"
	loadsMetric       = "named_metrics.loads"
	pinnedMetric      = "named_metrics.pinned"
)

// localityStats returns the sums over the servers of a locality.
func localityStats(locality loadreport.Locality, servers []loadreport.EndpointStats) *endpoint.UpstreamLocalityStats {
	sum := &endpoint.UpstreamLocalityStats{Locality: &core.Locality{Zone: locality.Zone, SubZone: locality.Cell}, Priority: locality.Priority}
	var metrics loadreport.LoadMetrics
	for _, server := range servers {
		sum.TotalIssuedRequests += server.Issued
		sum.TotalSuccessfulRequests += server.Succeeded
		sum.TotalErrorRequests += server.Failed
		sum.TotalRequestsInProgress += server.InFlight
		metrics.Reports += server.Reports
		metrics.Utilization += server.Utilization
		metrics.PendingLoads += server.PendingLoads
		metrics.PinnedMemory += server.PinnedMemory
	}
	sum.LoadMetricStats = loadMetrics(metrics)
	return sum
}

// endpointStats converts the stats of single servers. It leaves out servers whose port is not a number, which the protocol can't
// represent.
func endpointStats(servers []loadreport.EndpointStats) (stats []*endpoint.UpstreamEndpointStats) {
	for _, server := range servers {
		address := socketAddress(server.Address)
		if address == nil {
			continue
		}
		stats = append(stats, &endpoint.UpstreamEndpointStats{
			Address:                 address,
			TotalIssuedRequests:     server.Issued,
			TotalSuccessfulRequests: server.Succeeded,
			TotalErrorRequests:      server.Failed,
			TotalRequestsInProgress: server.InFlight,
			LoadMetricStats:         loadMetrics(server.LoadMetrics),
		})
	}
	return stats
}

func loadMetrics(metrics loadreport.LoadMetrics) []*endpoint.EndpointLoadMetricStats {
	if metrics.Reports == 0 {
		return nil
	}
	stats := func(name string, total float64) *endpoint.EndpointLoadMetricStats {
		return &endpoint.EndpointLoadMetricStats{MetricName: name, NumRequestsFinishedWithMetric: metrics.Reports, TotalMetricValue: total}
	}
	return []*endpoint.EndpointLoadMetricStats{stats(utilizationMetric, metrics.Utilization), stats(loadsMetric, metrics.PendingLoads),
		stats(pinnedMetric, metrics.PinnedMemory)}
}

// parseReport converts a node's report. It reads only the stats of single servers: sums by locality can't be split by server,
// so they can't be added to those of other nodes.
func parseReport(clusters []*endpoint.ClusterStats, now control.Micros) loadreport.Report {
	report := loadreport.Report{To: now}
	for _, cluster := range clusters {
		for _, locality := range cluster.GetUpstreamLocalityStats() {
			for _, stats := range locality.GetUpstreamEndpointStats() {
				if stats.GetAddress().GetSocketAddress() != nil {
					report.Endpoints = append(report.Endpoints, parseEndpointStats(stats))
				}
			}
		}
	}
	return report
}

func parseEndpointStats(stats *endpoint.UpstreamEndpointStats) loadreport.EndpointStats {
	socket := stats.GetAddress().GetSocketAddress()
	parsed := loadreport.EndpointStats{
		Address:  net.JoinHostPort(socket.GetAddress(), strconv.FormatUint(uint64(socket.GetPortValue()), 10)),
		InFlight: stats.GetTotalRequestsInProgress(),
		Counts: loadreport.Counts{
			Issued:    stats.GetTotalIssuedRequests(),
			Succeeded: stats.GetTotalSuccessfulRequests(),
			Failed:    stats.GetTotalErrorRequests(),
		},
	}
	for _, metric := range stats.GetLoadMetricStats() {
		parsed.Reports = max(parsed.Reports, metric.GetNumRequestsFinishedWithMetric())
		switch metric.GetMetricName() {
		case utilizationMetric:
			parsed.Utilization = metric.GetTotalMetricValue()
		case loadsMetric:
			parsed.PendingLoads = metric.GetTotalMetricValue()
		case pinnedMetric:
			parsed.PinnedMemory = metric.GetTotalMetricValue()
		}
	}
	return parsed
}

// socketAddress converts an address to a protocol message. It returns nil if the port is not a number.
func socketAddress(address string) *core.Address {
	host, port, err := net.SplitHostPort(address)
	number, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || portErr != nil {
		return nil
	}
	return &core.Address{Address: &core.Address_SocketAddress{SocketAddress: &core.SocketAddress{Address: host,
		PortSpecifier: &core.SocketAddress_PortValue{PortValue: uint32(number)}}}}
}
