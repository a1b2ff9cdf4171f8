package xds

import (
	"cmp"
	"errors"
	"fmt"
	"strings"

	cluster "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"google.golang.org/protobuf/types/known/anypb"

	"hollymast/internal/membership"
)

// parsedCluster holds the settings of a cluster that the client uses.
type parsedCluster struct {
	name    string
	service string      // the name under which the cluster's endpoints are subscribed to
	inline  *assignment // the endpoints of a static cluster; nil: the cluster is not static
}

// parseClusters parses and validates clusters. Clusters of unsupported types are left out and logged.
func (c *Client) parseClusters(resources []*anypb.Any) ([]parsedCluster, error) {
	if len(resources) > c.bounds.Clusters {
		return nil, fmt.Errorf("%d clusters, over the bound of %d", len(resources), c.bounds.Clusters)
	}
	clusters := make([]parsedCluster, 0, len(resources))
	seen := make(map[string]bool, len(resources))
	for _, resource := range resources {
		message := &cluster.Cluster{}
		if err := resource.UnmarshalTo(message); err != nil {
			return nil, fmt.Errorf("a cluster can't be read: %w", err)
		}
		if message.Name == "" || seen[message.Name] {
			return nil, fmt.Errorf("cluster %q: no name, or named twice", message.Name)
		}
		seen[message.Name] = true
		parsed, supported, err := c.parseCluster(message)
		if err != nil {
			return nil, fmt.Errorf("cluster %s: %w", message.Name, err)
		}
		if supported {
			clusters = append(clusters, parsed)
		}
	}
	return clusters, nil
}

func (c *Client) parseCluster(message *cluster.Cluster) (parsed parsedCluster, supported bool, err error) {
	parsed = parsedCluster{name: message.Name, service: cmp.Or(message.GetEdsClusterConfig().GetServiceName(), message.Name)}
	switch message.GetType() {
	case cluster.Cluster_EDS:
		source := message.GetEdsClusterConfig().GetEdsConfig()
		if _, ads := source.GetConfigSourceSpecifier().(*core.ConfigSource_Ads); source != nil && !ads {
			c.logOnce("cluster %s: its EDS config source is ignored; its endpoints are subscribed to on the same stream", message.Name)
		}
	case cluster.Cluster_STATIC:
		inline, err := c.parseAssignment(message.GetLoadAssignment())
		if err != nil {
			return parsed, false, err
		}
		parsed.inline = &inline
	default:
		c.logOnce("cluster %s: type %s is not supported", message.Name, message.GetType())
		return parsed, false, nil
	}
	if message.GetLbPolicy() != cluster.Cluster_ROUND_ROBIN || message.GetLoadBalancingPolicy() != nil {
		c.logOnce("cluster %s: its balancing policy is ignored; requests are sent to servers that have the model loaded", message.Name)
	}
	return parsed, true, nil
}

// assignment holds the endpoints of one service.
type assignment struct {
	name             string
	overprovisioning float64 // a factor; 0: not set
	endpoints        []membership.Endpoint
}

// parseAssignments parses and validates assignments.
func (c *Client) parseAssignments(resources []*anypb.Any) ([]assignment, error) {
	assignments := make([]assignment, 0, len(resources))
	seen := make(map[string]bool, len(resources))
	for _, resource := range resources {
		message := &endpoint.ClusterLoadAssignment{}
		if err := resource.UnmarshalTo(message); err != nil {
			return nil, fmt.Errorf("an assignment can't be read: %w", err)
		}
		if message.ClusterName == "" || seen[message.ClusterName] {
			return nil, fmt.Errorf("assignment %q: no name, or named twice", message.ClusterName)
		}
		seen[message.ClusterName] = true
		parsed, err := c.parseAssignment(message)
		if err != nil {
			return nil, fmt.Errorf("assignment %s: %w", message.ClusterName, err)
		}
		assignments = append(assignments, parsed)
	}
	return assignments, nil
}

// minOverprovisioning is the minimum overprovisioning factor in percent. With a smaller one, a priority would not suffice even with
// all its servers usable.
const minOverprovisioning = 100

func (c *Client) parseAssignment(message *endpoint.ClusterLoadAssignment) (parsed assignment, err error) {
	parsed.name = message.GetClusterName()
	if factor := message.GetPolicy().GetOverprovisioningFactor(); factor != nil {
		if factor.Value < minOverprovisioning {
			return parsed, errors.New("an overprovisioning factor below 100 %")
		}
		parsed.overprovisioning = float64(factor.Value) / 100
	}
	for _, drop := range message.GetPolicy().GetDropOverloads() {
		if drop.GetDropPercentage().GetNumerator() > 0 {
			c.logOnce("assignment %s: drop_overloads %q is ignored; only requests that can't be answered in time are rejected", parsed.name, drop.GetCategory())
		}
	}
	for _, locality := range message.GetEndpoints() {
		if len(parsed.endpoints)+len(locality.GetLbEndpoints()) > c.bounds.Endpoints {
			return parsed, fmt.Errorf("over %d endpoints", c.bounds.Endpoints)
		}
		for _, e := range locality.GetLbEndpoints() {
			parsedEndpoint, err := c.parseEndpoint(parsed.name, locality, e)
			if err != nil {
				return parsed, err
			}
			parsed.endpoints = append(parsed.endpoints, parsedEndpoint)
		}
	}
	return parsed, nil
}

const maxPort = 65535

func (c *Client) parseEndpoint(assignment string, locality *endpoint.LocalityLbEndpoints, e *endpoint.LbEndpoint) (membership.Endpoint, error) {
	socket := e.GetEndpoint().GetAddress().GetSocketAddress()
	if socket == nil || socket.GetAddress() == "" || socket.GetPortValue() == 0 || socket.GetPortValue() > maxPort {
		return membership.Endpoint{}, errors.New("an endpoint has no address with a port")
	}
	health, known := healthOf[e.GetHealthStatus()]
	if !known {
		c.logOnce("assignment %s: unsupported health status %d counts as unknown", assignment, e.GetHealthStatus())
	}
	host := socket.GetAddress()
	if strings.Contains(host, ":") { // IPv6
		host = "[" + host + "]"
	}
	startedAt, err := parseStartedAt(e.GetMetadata())
	if err != nil {
		return membership.Endpoint{}, err
	}
	return membership.Endpoint{
		Address:   fmt.Sprintf("%s:%d", host, socket.GetPortValue()),
		Health:    health,
		Weight:    e.GetLoadBalancingWeight().GetValue(),
		Priority:  locality.GetPriority(),
		Zone:      locality.GetLocality().GetZone(),
		Cell:      locality.GetLocality().GetSubZone(),
		StartedAt: startedAt,
	}, nil
}

// healthOf maps Envoy's health status to a health; statusOf is the inverse.
var healthOf = map[core.HealthStatus]membership.Health{
	core.HealthStatus_UNKNOWN:   membership.Unknown,
	core.HealthStatus_HEALTHY:   membership.Healthy,
	core.HealthStatus_UNHEALTHY: membership.Unhealthy,
	core.HealthStatus_DRAINING:  membership.Draining,
	core.HealthStatus_TIMEOUT:   membership.Timeout,
	core.HealthStatus_DEGRADED:  membership.Degraded,
}
