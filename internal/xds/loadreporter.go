package xds

import (
	"cmp"
	"maps"
	"slices"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	lrs "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"hollymast/control"
	"hollymast/internal/loadreport"
)

// allClusters tells a control plane that it may ask for all clusters at once.
const allClusters = "envoy.lrs.supports_send_all_clusters"

// Counted is where reports come from.
type LoadSource interface {
	Take(now control.Micros) loadreport.Report // what was counted since the last
	Places() map[string]loadreport.Locality    // of the servers that a control plane lists
	Services() map[string]string               // the name under which a cluster's endpoints are asked for, where it is another
}

// Reports is the client's side of load reporting (LRS): the control plane asks for clusters at an interval, and is told.
type LoadReporter struct {
	node   *core.Node
	source LoadSource
	pace   loadreport.Scheduler
}

// NewReports gives one that reports what is counted.
func NewLoadReporter(c LoadSource, id, zone string) *LoadReporter {
	return &LoadReporter{source: c, node: &core.Node{Id: id, Cluster: "hollymast", UserAgentName: "hollymast", Locality: &core.Locality{Zone: zone},
		ClientFeatures: []string{allClusters}}}
}

// Connected begins a stream.
func (r *LoadReporter) Connected(control.Micros) []proto.Message {
	r.pace.StreamOpened()
	return []proto.Message{&lrs.LoadStatsRequest{Node: r.node}}
}

// Broken ends a stream.
func (r *LoadReporter) Disconnected(control.Micros) { r.pace.StreamClosed() }

// Heard takes in what is asked for.
func (r *LoadReporter) HandleResponse(now control.Micros, m proto.Message) []proto.Message {
	x, ok := m.(*lrs.LoadStatsResponse)
	if !ok {
		return nil
	}
	a := loadreport.Request{AllClusters: x.SendAllClusters, Clusters: map[string]bool{}, PerEndpoint: x.ReportEndpointGranularity}
	for _, c := range x.Clusters {
		a.Clusters[c] = true
	}
	if i := x.GetLoadReportingInterval(); i.IsValid() && i.AsDuration() > 0 && (a.AllClusters || len(a.Clusters) > 0) {
		a.Interval = control.Micros(i.AsDuration().Microseconds())
	}
	r.pace.SetRequest(now, a)
	return nil
}

// Tick gives when the next report is due.
func (r *LoadReporter) Tick(now control.Micros) control.Micros {
	if due := r.pace.NextAt(); due > 0 {
		return max(due, now)
	}
	return 0
}

// Speak gives the report that is due.
func (r *LoadReporter) TimedRequests(now control.Micros) []proto.Message {
	if due := r.pace.NextAt(); due == 0 || now < due {
		return nil
	}
	report := r.pace.NextReport(now, r.source.Take(now))
	return []proto.Message{&lrs.LoadStatsRequest{ClusterStats: r.clusterStats(report)}}
}

// Spoken tells that it went out.
func (r *LoadReporter) TimedRequestsSent() { r.pace.ReportSent() }

// Notes has none.
func (r *LoadReporter) TakeLogLines() []string { return nil }

// clusters gives a report in the protocol's form: by cluster, then by locality and priority. Servers of clusters that are not
// asked for are left out, and so are those that no cluster names any more.
func (r *LoadReporter) clusterStats(report loadreport.Report) []*endpoint.ClusterStats {
	asked, places, services := r.pace.Request(), r.source.Places(), r.source.Services()
	by := map[string]map[loadreport.Locality][]loadreport.EndpointStats{}
	for _, l := range report.Endpoints {
		at, known := places[l.Address]
		if !known || !asked.AllClusters && !asked.Clusters[at.Cluster] {
			continue
		}
		if by[at.Cluster] == nil {
			by[at.Cluster] = map[loadreport.Locality][]loadreport.EndpointStats{}
		}
		by[at.Cluster][at] = append(by[at.Cluster][at], l)
	}
	var out []*endpoint.ClusterStats
	for _, name := range slices.Sorted(maps.Keys(by)) {
		c := &endpoint.ClusterStats{ClusterName: name, ClusterServiceName: services[name], LoadReportInterval: &durationpb.Duration{
			Seconds: int64(report.To-report.From) / 1e6, Nanos: int32(int64(report.To-report.From) % 1e6 * 1000)}}
		in := slices.SortedFunc(maps.Keys(by[name]), func(a, b loadreport.Locality) int {
			return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Cell, b.Cell))
		})
		for _, at := range in {
			c.UpstreamLocalityStats = append(c.UpstreamLocalityStats, localityStats(at, by[name][at], asked.PerEndpoint))
		}
		out = append(out, c)
	}
	return out
}
