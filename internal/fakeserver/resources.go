package fakeserver

import (
	"net"
	"strconv"

	cluster "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/structpb"
)

// Type URLs of resources.
const (
	typePrefix  = "type.googleapis.com/"
	clusterURL  = typePrefix + "envoy.config.cluster.v3.Cluster"
	endpointURL = typePrefix + "envoy.config.endpoint.v3.ClusterLoadAssignment"
	secretURL   = typePrefix + "envoy.extensions.transport_sockets.tls.v3.Secret"
)

// resourceTypes are the resource types in the order of sending: clusters before their endpoints.
var resourceTypes = [...]string{clusterURL, endpointURL}

// resources returns the resources of a type, keyed by name.
func (p *ControlPlane) resources(url string) map[string]*anypb.Any {
	resources := map[string]*anypb.Any{}
	for name, endpoints := range p.clusters {
		switch {
		case url == clusterURL:
			resources[name] = PackAny(edsCluster(name))
		case !p.hiddenClusters[name]:
			resources[name] = PackAny(LoadAssignment(name, endpoints))
		}
	}
	return resources
}

// edsCluster returns a cluster whose endpoints are sent over the same stream.
func edsCluster(name string) *cluster.Cluster {
	ads := &core.ConfigSource{ConfigSourceSpecifier: &core.ConfigSource_Ads{Ads: &core.AggregatedConfigSource{}}}
	return &cluster.Cluster{Name: name, ClusterDiscoveryType: &cluster.Cluster_Type{Type: cluster.Cluster_EDS},
		EdsClusterConfig: &cluster.Cluster_EdsClusterConfig{EdsConfig: ads}}
}

// PackAny packs a message into an Any, with deterministic encoding.
func PackAny(m proto.Message) *anypb.Any {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err) // cannot fail: the messages are built by tests and by this package
	}
	return &anypb.Any{TypeUrl: typePrefix + string(m.ProtoReflect().Descriptor().FullName()), Value: b}
}

// LoadAssignment returns a cluster's endpoints as an xDS resource, each endpoint in a locality of its own.
func LoadAssignment(name string, endpoints []Endpoint) *endpoint.ClusterLoadAssignment {
	assignment := &endpoint.ClusterLoadAssignment{ClusterName: name}
	for _, e := range endpoints {
		assignment.Endpoints = append(assignment.Endpoints, &endpoint.LocalityLbEndpoints{Locality: &core.Locality{Zone: e.Zone, SubZone: e.Cell},
			LbEndpoints: []*endpoint.LbEndpoint{lbEndpoint(e)}})
	}
	return assignment
}

// lbEndpoint returns an endpoint as part of an xDS resource; its start time is sent as metadata.
func lbEndpoint(e Endpoint) *endpoint.LbEndpoint {
	host, port, _ := net.SplitHostPort(e.Address)
	number, _ := strconv.Atoi(port)
	address := &core.SocketAddress{Address: host, PortSpecifier: &core.SocketAddress_PortValue{PortValue: uint32(number)}}
	lb := &endpoint.LbEndpoint{HealthStatus: e.Health, HostIdentifier: &endpoint.LbEndpoint_Endpoint{Endpoint: &endpoint.Endpoint{
		Address: &core.Address{Address: &core.Address_SocketAddress{SocketAddress: address}}}}}
	if e.StartedAt != "" {
		fields := map[string]*structpb.Value{"born": structpb.NewStringValue(e.StartedAt)}
		lb.Metadata = &core.Metadata{FilterMetadata: map[string]*structpb.Struct{"hollymast": {Fields: fields}}}
	}
	return lb
}
