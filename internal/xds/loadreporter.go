package xds

import (
	"cmp"
	"maps"
	"slices"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	lrs "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"hollymast/control"
	"hollymast/internal/loadreport"
)

// supportsAllClusters is the client feature that allows a control plane to request reports of all clusters without listing them.
const supportsAllClusters = "envoy.lrs.supports_send_all_clusters"

// LoadSource provides what a LoadReporter reports.
type LoadSource interface {
	Flush(now control.Micros) loadreport.Report // counts since the last Flush
	Localities() map[string]loadreport.Locality // by address, of the servers that a control plane lists
	ServiceNames() map[string]string            // by cluster: the name under which its endpoints are subscribed to
}

// LoadReporter is the client side of load reporting (LRS): the control plane selects the clusters and the interval. It implements
// Protocol.
type LoadReporter struct {
	node      *core.Node
	source    LoadSource
	scheduler loadreport.Scheduler
}

// NewLoadReporter returns a reporter of the source's counts. ID and zone identify this router to the control plane.
func NewLoadReporter(source LoadSource, id, zone string) *LoadReporter {
	node := newNode(id, zone)
	node.ClientFeatures = []string{supportsAllClusters}
	return &LoadReporter{source: source, node: node}
}

// Connected starts a stream and returns its first request.
func (r *LoadReporter) Connected(control.Micros) []proto.Message {
	r.scheduler.StreamOpened()
	return []proto.Message{&lrs.LoadStatsRequest{Node: r.node}}
}

// Disconnected records the end of a stream.
func (r *LoadReporter) Disconnected(control.Micros) { r.scheduler.StreamClosed() }

// HandleResponse applies the control plane's selection of clusters and interval.
func (r *LoadReporter) HandleResponse(now control.Micros, m proto.Message) []proto.Message {
	response, ok := m.(*lrs.LoadStatsResponse)
	if !ok {
		return nil
	}
	request := loadreport.Request{AllClusters: response.SendAllClusters, Clusters: map[string]bool{}, PerEndpoint: response.ReportEndpointGranularity}
	for _, c := range response.Clusters {
		request.Clusters[c] = true
	}
	if i := response.GetLoadReportingInterval(); i.IsValid() && i.AsDuration() > 0 && (request.AllClusters || len(request.Clusters) > 0) {
		request.Interval = control.Micros(i.AsDuration().Microseconds())
	}
	r.scheduler.SetRequest(now, request)
	return nil
}

// Tick returns when the next report is due; 0: none is requested.
func (r *LoadReporter) Tick(now control.Micros) control.Micros {
	if due := r.scheduler.NextAt(); due > 0 {
		return max(due, now)
	}
	return 0
}

// TimedRequests returns the next report if it is due.
func (r *LoadReporter) TimedRequests(now control.Micros) []proto.Message {
	if due := r.scheduler.NextAt(); due == 0 || now < due {
		return nil
	}
	report := r.scheduler.NextReport(now, r.source.Flush(now))
	return []proto.Message{&lrs.LoadStatsRequest{ClusterStats: r.clusterStats(report)}}
}

// TimedRequestsSent records that the report was sent. Until it is called, the counts are included in the next report.
func (r *LoadReporter) TimedRequestsSent() { r.scheduler.ReportSent() }

// TakeLogLines returns nothing: the reporter has nothing to log.
func (r *LoadReporter) TakeLogLines() []string { return nil }

// clusterStats converts a report to protocol messages, grouped by cluster, then by priority and locality. It leaves out servers of
// clusters that were not requested, and servers that no cluster lists any more.
func (r *LoadReporter) clusterStats(report loadreport.Report) []*endpoint.ClusterStats {
	request, localities, services := r.scheduler.Request(), r.source.Localities(), r.source.ServiceNames()
	byCluster := map[string]map[loadreport.Locality][]loadreport.EndpointStats{}
	for _, stats := range report.Endpoints {
		locality, listed := localities[stats.Address]
		if !listed || !request.AllClusters && !request.Clusters[locality.Cluster] {
			continue
		}
		if byCluster[locality.Cluster] == nil {
			byCluster[locality.Cluster] = map[loadreport.Locality][]loadreport.EndpointStats{}
		}
		byCluster[locality.Cluster][locality] = append(byCluster[locality.Cluster][locality], stats)
	}
	interval := durationpb.New(time.Duration(report.To-report.From) * time.Microsecond)
	var out []*endpoint.ClusterStats
	for _, name := range slices.Sorted(maps.Keys(byCluster)) {
		c := &endpoint.ClusterStats{ClusterName: name, ClusterServiceName: services[name], LoadReportInterval: interval}
		for _, locality := range slices.SortedFunc(maps.Keys(byCluster[name]), compareLocalities) {
			servers := byCluster[name][locality]
			stats := localityStats(locality, servers)
			if request.PerEndpoint {
				stats.UpstreamEndpointStats = endpointStats(servers)
			}
			c.UpstreamLocalityStats = append(c.UpstreamLocalityStats, stats)
		}
		out = append(out, c)
	}
	return out
}

func compareLocalities(a, b loadreport.Locality) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Cell, b.Cell))
}
