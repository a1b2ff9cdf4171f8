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

// assignmentOf converts servers to a protocol message, grouped by locality. It leaves out servers whose port is not a number, which
// the protocol can't represent.
func assignmentOf(servers []ServerView) *endpoint.ClusterLoadAssignment {
	a := &endpoint.ClusterLoadAssignment{ClusterName: ViewCluster}
	type localityKey struct{ zone, cell string }
	localities := map[localityKey]*endpoint.LocalityLbEndpoints{}
	for _, s := range servers {
		key := localityKey{s.Zone, s.Cell}
		locality := localities[key]
		if locality == nil {
			locality = &endpoint.LocalityLbEndpoints{Locality: &core.Locality{Zone: s.Zone, SubZone: s.Cell}}
			localities[key] = locality
			a.Endpoints = append(a.Endpoints, locality)
		}
		if address := socketAddress(s.Address); address != nil {
			locality.LbEndpoints = append(locality.LbEndpoints, s.lbEndpoint(address))
		}
	}
	return a
}

// maxEnvoyWeight keeps a weight, and the sum of several, within the 32 bits of Envoy's weights.
const maxEnvoyWeight = 1 << 30

func (s ServerView) lbEndpoint(address *core.Address) *endpoint.LbEndpoint {
	fields := map[string]*structpb.Value{"in_flight": structpb.NewNumberValue(float64(s.InFlight))}
	if s.StartedAt > 0 {
		fields["born"] = structpb.NewStringValue(time.UnixMicro(s.StartedAt).UTC().Format(time.RFC3339Nano))
	}
	e := &endpoint.LbEndpoint{
		HealthStatus:        statusOf[s.Health],
		LoadBalancingWeight: wrapperspb.UInt32(uint32(min(max(1, 100*s.Weight), maxEnvoyWeight))),
		Metadata:            &core.Metadata{FilterMetadata: map[string]*structpb.Struct{metadataKey: {Fields: fields}}},
		HostIdentifier:      &endpoint.LbEndpoint_Endpoint{Endpoint: &endpoint.Endpoint{Address: address}},
	}
	if report, err := anypb.New(s.orcaReport()); err == nil && s.HasLoadReport {
		e.Metadata.TypedFilterMetadata = map[string]*anypb.Any{orcaMetadataKey: report}
	}
	return e
}

// orcaMetadataKey is the key of the endpoint metadata that contains the server's load report.
const orcaMetadataKey = "hollymast.load"

// orcaReport returns the server's load as an ORCA report. Named metrics that the server did not report are left out.
func (s ServerView) orcaReport() *orca.OrcaLoadReport {
	report := &orca.OrcaLoadReport{CpuUtilization: max(0, s.Utilization), NamedMetrics: map[string]float64{}}
	for name, value := range map[string]float64{"loads": s.PendingLoads, "pinned": s.PinnedMemory} {
		if value >= 0 {
			report.NamedMetrics[name] = value
		}
	}
	return report
}

// statusOf maps a health to Envoy's health status, as the inverse of healthOf.
var statusOf = func() map[membership.Health]core.HealthStatus {
	statuses := make(map[membership.Health]core.HealthStatus, len(healthOf))
	for status, health := range healthOf {
		statuses[health] = status
	}
	return statuses
}()
