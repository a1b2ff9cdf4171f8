package xds

import (
	"cmp"
	"errors"
	"fmt"
	"hollymast/internal/membership"
	"strings"

	cluster "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"google.golang.org/protobuf/types/known/anypb"
)

// known is a cluster as read.
type parsedCluster struct {
	name, service string
	inline        *assignment
}

func (f *Client) parseClusters(resources []*anypb.Any) ([]parsedCluster, error) {
	if len(resources) > f.bounds.Clusters {
		return nil, fmt.Errorf("%d clusters, over the bound of %d", len(resources), f.bounds.Clusters)
	}
	clusters := make([]parsedCluster, 0, len(resources))
	seen := make(map[string]bool, len(resources))
	for _, any := range resources {
		c := &cluster.Cluster{}
		if err := any.UnmarshalTo(c); err != nil {
			return nil, fmt.Errorf("a cluster can't be read: %w", err)
		}
		if c.Name == "" || seen[c.Name] {
			return nil, fmt.Errorf("cluster %q: no name, or named twice", c.Name)
		}
		seen[c.Name] = true
		parsed := parsedCluster{name: c.Name, service: cmp.Or(c.GetEdsClusterConfig().GetServiceName(), c.Name)}
		switch c.GetType() {
		case cluster.Cluster_EDS:
			if _, ads := c.GetEdsClusterConfig().GetEdsConfig().GetConfigSourceSpecifier().(*core.ConfigSource_Ads); !ads &&
				c.GetEdsClusterConfig().GetEdsConfig() != nil {
				f.logOnce("cluster %s: its endpoints are asked for on the same stream, whatever source it names", c.Name)
			}
		case cluster.Cluster_STATIC:
			a, err := f.parseAssignment(c.GetLoadAssignment())
			if err != nil {
				return nil, fmt.Errorf("cluster %s: %w", c.Name, err)
			}
			parsed.inline = &a
		default:
			f.logOnce("cluster %s: of type %s, which is not followed", c.Name, c.GetType())
			continue
		}
		if c.GetLbPolicy() != cluster.Cluster_ROUND_ROBIN || c.GetLoadBalancingPolicy() != nil {
			f.logOnce("cluster %s: its balancing policy is passed over; jobs go where copies are loaded", c.Name)
		}
		clusters = append(clusters, parsed)
	}
	return clusters, nil
}

// assignment is the endpoints of one service.
type assignment struct {
	name             string
	overprovisioning float64 // 0: not told
	endpoints        []membership.Endpoint
}

func (f *Client) parseAssignments(resources []*anypb.Any) ([]assignment, error) {
	assignments := make([]assignment, 0, len(resources))
	seen := make(map[string]bool, len(resources))
	for _, any := range resources {
		a := &endpoint.ClusterLoadAssignment{}
		if err := any.UnmarshalTo(a); err != nil {
			return nil, fmt.Errorf("an assignment can't be read: %w", err)
		}
		if a.ClusterName == "" || seen[a.ClusterName] {
			return nil, fmt.Errorf("assignment %q: no name, or named twice", a.ClusterName)
		}
		seen[a.ClusterName] = true
		parsed, err := f.parseAssignment(a)
		if err != nil {
			return nil, fmt.Errorf("assignment %s: %w", a.ClusterName, err)
		}
		assignments = append(assignments, parsed)
	}
	return assignments, nil
}

func (f *Client) parseAssignment(a *endpoint.ClusterLoadAssignment) (out assignment, err error) {
	out.name = a.GetClusterName()
	if factor := a.GetPolicy().GetOverprovisioningFactor(); factor != nil {
		if factor.Value < 100 {
			return out, errors.New("an overprovisioning factor below 100 %")
		}
		out.overprovisioning = float64(factor.Value) / 100
	}
	for _, d := range a.GetPolicy().GetDropOverloads() {
		if d.GetDropPercentage().GetNumerator() > 0 {
			f.logOnce("assignment %s: drop_overloads %q is passed over; jobs are pushed back where they can't be in time", out.name, d.GetCategory())
		}
	}
	for _, l := range a.GetEndpoints() {
		if len(out.endpoints)+len(l.GetLbEndpoints()) > f.bounds.Endpoints {
			return out, fmt.Errorf("over %d endpoints", f.bounds.Endpoints)
		}
		for _, e := range l.GetLbEndpoints() {
			s := e.GetEndpoint().GetAddress().GetSocketAddress()
			if s == nil || s.GetAddress() == "" || s.GetPortValue() == 0 || s.GetPortValue() > 65535 {
				return out, errors.New("an endpoint has no address with a port")
			}
			health, known := healthOf[e.GetHealthStatus()]
			if !known {
				f.logOnce("assignment %s: health status %d is not known and counts as unknown", out.name, e.GetHealthStatus())
			}
			host := s.GetAddress()
			if strings.Contains(host, ":") {
				host = "[" + host + "]"
			}
			startedAt, err := parseStartedAt(e.GetMetadata())
			if err != nil {
				return out, err
			}
			out.endpoints = append(out.endpoints, membership.Endpoint{Address: fmt.Sprintf("%s:%d", host, s.GetPortValue()), Health: health,
				Weight: e.GetLoadBalancingWeight().GetValue(), Priority: l.GetPriority(), Zone: l.GetLocality().GetZone(),
				Cell: l.GetLocality().GetSubZone(), StartedAt: startedAt})
		}
	}
	return out, nil
}

var healthOf = map[core.HealthStatus]membership.Health{core.HealthStatus_UNKNOWN: membership.Unknown, core.HealthStatus_HEALTHY: membership.Healthy,
	core.HealthStatus_UNHEALTHY: membership.Unhealthy, core.HealthStatus_DRAINING: membership.Draining,
	core.HealthStatus_TIMEOUT: membership.Timeout, core.HealthStatus_DEGRADED: membership.Degraded}
