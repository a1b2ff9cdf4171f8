package xds

import (
	"hollymast/internal/membership"
	"time"

	orca "github.com/cncf/xds/go/xds/data/orca/v3"
	cluster "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/structpb"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

func viewCluster() *cluster.Cluster {
	return &cluster.Cluster{Name: ViewCluster, ClusterDiscoveryType: &cluster.Cluster_Type{Type: cluster.Cluster_EDS},
		EdsClusterConfig: &cluster.Cluster_EdsClusterConfig{EdsConfig: &core.ConfigSource{ResourceApiVersion: core.ApiVersion_V3,
			ConfigSourceSpecifier: &core.ConfigSource_Ads{Ads: &core.AggregatedConfigSource{}}}}}
}

// assignmentOf gives servers in the protocol's form, by locality.
func assignmentOf(servers []ServerView) *endpoint.ClusterLoadAssignment {
	a := &endpoint.ClusterLoadAssignment{ClusterName: ViewCluster}
	type place struct{ zone, cell string }
	localities := map[place]*endpoint.LocalityLbEndpoints{}
	for _, s := range servers {
		at := place{s.Zone, s.Cell}
		l := localities[at]
		if l == nil {
			l = &endpoint.LocalityLbEndpoints{Locality: &core.Locality{Zone: s.Zone, SubZone: s.Cell}}
			localities[at] = l
			a.Endpoints = append(a.Endpoints, l)
		}
		address := socketAddress(s.Address)
		if address == nil {
			continue // a name without a number: it can't be told in this form
		}
		fields := map[string]*structpb.Value{"in_flight": structpb.NewNumberValue(float64(s.InFlight))}
		if s.StartedAt > 0 {
			fields["born"] = structpb.NewStringValue(time.UnixMicro(s.StartedAt).UTC().Format(time.RFC3339Nano))
		}
		e := &endpoint.LbEndpoint{HealthStatus: statusOf[s.Health], LoadBalancingWeight: wrapperspb.UInt32(uint32(min(max(1, 100*s.Weight), 1<<30))),
			Metadata:       &core.Metadata{FilterMetadata: map[string]*structpb.Struct{metadataKey: {Fields: fields}}},
			HostIdentifier: &endpoint.LbEndpoint_Endpoint{Endpoint: &endpoint.Endpoint{Address: address}}}
		if report, err := anypb.New(s.orcaReport()); err == nil && s.HasLoadReport {
			e.Metadata.TypedFilterMetadata = map[string]*anypb.Any{orcaMetadataKey: report}
		}
		l.LbEndpoints = append(l.LbEndpoints, e)
	}
	return a
}

// orcaKey is where a follower finds a server's load.
const orcaMetadataKey = "hollymast.load"

// report gives what a server told of its load in ORCA's form. What it did not tell is left out.
func (s ServerView) orcaReport() *orca.OrcaLoadReport {
	r := &orca.OrcaLoadReport{CpuUtilization: max(0, s.Utilization), NamedMetrics: map[string]float64{}}
	for name, v := range map[string]float64{"loads": s.PendingLoads, "pinned": s.PinnedMemory} {
		if v >= 0 {
			r.NamedMetrics[name] = v
		}
	}
	return r
}

// statuses is healths the other way.
var statusOf = func() map[membership.Health]core.HealthStatus {
	m := map[membership.Health]core.HealthStatus{}
	for s, h := range healthOf {
		m[h] = s
	}
	return m
}()
