package xds

import (
	"hollymast/control"
	"hollymast/internal/loadreport"
	"net"
	"strconv"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
)

// The names of the load metrics: ORCA's own for utilization, its form of named metrics for the others.
const (
	utilizationMetric = "cpu_utilization"
	loadsMetric       = "named_metrics.loads"
	pinnedMetric      = "named_metrics.pinned"
)

// localityStats sums the servers of a locality.
func localityStats(at loadreport.Locality, servers []loadreport.EndpointStats) *endpoint.UpstreamLocalityStats {
	sum := &endpoint.UpstreamLocalityStats{Locality: &core.Locality{Zone: at.Zone, SubZone: at.Cell}, Priority: at.Priority}
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

// endpointStats lists servers one by one. Those whose port is no number have no place in the protocol.
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

// parseReport reads a node's report, of its servers alone: the sums of localities can't be added to those of other nodes by
// server.
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
	read := loadreport.EndpointStats{
		Address:  net.JoinHostPort(socket.GetAddress(), strconv.FormatUint(uint64(socket.GetPortValue()), 10)),
		InFlight: stats.GetTotalRequestsInProgress(),
		Counts: loadreport.Counts{
			Issued:    stats.GetTotalIssuedRequests(),
			Succeeded: stats.GetTotalSuccessfulRequests(),
			Failed:    stats.GetTotalErrorRequests(),
		},
	}
	for _, metric := range stats.GetLoadMetricStats() {
		read.Reports = max(read.Reports, metric.GetNumRequestsFinishedWithMetric())
		switch metric.GetMetricName() {
		case utilizationMetric:
			read.Utilization = metric.GetTotalMetricValue()
		case loadsMetric:
			read.PendingLoads = metric.GetTotalMetricValue()
		case pinnedMetric:
			read.PinnedMemory = metric.GetTotalMetricValue()
		}
	}
	return read
}

// socketAddress returns an address in the protocol's form; nil: its port is no number.
func socketAddress(address string) *core.Address {
	host, port, err := net.SplitHostPort(address)
	number, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || portErr != nil {
		return nil
	}
	return &core.Address{Address: &core.Address_SocketAddress{SocketAddress: &core.SocketAddress{Address: host,
		PortSpecifier: &core.SocketAddress_PortValue{PortValue: uint32(number)}}}}
}
