package xds

import (
	"fmt"
	"slices"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	status "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"hollymast/control"
)

// HandleResponse applies a response and returns the requests to send: an ACK, or a NACK with the reason, then changes of the
// endpoint subscription. A response of a type that is not subscribed to is ignored.
func (c *Client) HandleResponse(now control.Micros, m proto.Message) []proto.Message {
	switch r := m.(type) {
	case *discovery.DiscoveryResponse:
		state := c.resourceTypes[r.TypeUrl]
		if state == nil {
			return nil
		}
		state.nonce = r.Nonce
		subscriptions, err := c.applyFull(now, r)
		if err == nil {
			state.version = r.VersionInfo
		}
		return append([]proto.Message{&discovery.DiscoveryRequest{TypeUrl: r.TypeUrl, VersionInfo: state.version, ResponseNonce: r.Nonce,
			ResourceNames: state.names, ErrorDetail: c.errorDetail(err)}}, subscriptions...)
	case *discovery.DeltaDiscoveryResponse:
		state := c.resourceTypes[r.TypeUrl]
		if state == nil {
			return nil
		}
		state.nonce = r.Nonce
		subscriptions, err := c.applyIncremental(now, r)
		return append([]proto.Message{&discovery.DeltaDiscoveryRequest{TypeUrl: r.TypeUrl, ResponseNonce: r.Nonce, ErrorDetail: c.errorDetail(err)}}, subscriptions...)
	}
	return nil
}

// errorDetail counts a response as accepted or rejected, and returns the error detail of the answer; nil makes it an ACK.
func (c *Client) errorDetail(err error) *status.Status {
	if err == nil {
		c.AcceptedResponses++
		return nil
	}
	c.RejectedResponses++
	c.logLines = append(c.logLines, "an update of the control plane is rejected: "+err.Error())
	return nack(err)
}

// nack returns the error detail that makes a request a NACK.
func nack(err error) *status.Status {
	return &status.Status{Code: int32(codes.InvalidArgument), Message: err.Error()}
}

// applyFull applies a state-of-the-world response. A cluster response lists all clusters. An endpoint response may leave out
// assignments, which then stay as they are.
func (c *Client) applyFull(now control.Micros, r *discovery.DiscoveryResponse) ([]proto.Message, error) {
	if r.TypeUrl == ClusterType {
		clusters, err := c.parseClusters(r.Resources)
		if err != nil {
			return nil, err
		}
		var removed []string
		for name := range c.serviceNames {
			if !slices.ContainsFunc(clusters, func(cluster parsedCluster) bool { return cluster.name == name }) {
				removed = append(removed, name)
			}
		}
		return c.updateClusters(now, clusters, removed), nil
	}
	assignments, err := c.parseAssignments(r.Resources)
	if err != nil {
		return nil, err
	}
	return nil, c.updateAssignments(now, assignments)
}

// applyIncremental applies a response of the incremental variant and records the versions of its resources.
func (c *Client) applyIncremental(now control.Micros, r *discovery.DeltaDiscoveryResponse) (subscriptions []proto.Message, err error) {
	resources := make([]*anypb.Any, len(r.Resources))
	for i, resource := range r.Resources {
		resources[i] = resource.Resource
	}
	if r.TypeUrl == ClusterType {
		subscriptions, err = c.applyClusterChanges(now, resources, r.RemovedResources)
	} else {
		err = c.applyAssignmentChanges(now, resources, r.RemovedResources)
	}
	if err != nil {
		return nil, err
	}
	versions := c.resourceTypes[r.TypeUrl].versions
	for _, resource := range r.Resources {
		versions[resource.Name] = resource.Version
	}
	for _, name := range r.RemovedResources {
		delete(versions, name)
	}
	return subscriptions, nil
}

func (c *Client) applyClusterChanges(now control.Micros, resources []*anypb.Any, removedNames []string) ([]proto.Message, error) {
	clusters, err := c.parseClusters(resources)
	if err != nil {
		return nil, err
	}
	// New clusters may exist beside the removed ones that they replace for a moment: hence twice the bound.
	if n := len(c.serviceNames) + len(clusters); n > 2*c.bounds.Clusters {
		return nil, fmt.Errorf("%d clusters, over the bound of %d", n, c.bounds.Clusters)
	}
	var removed []string
	for _, name := range removedNames {
		if _, known := c.serviceNames[name]; known {
			removed = append(removed, name)
		}
	}
	return c.updateClusters(now, clusters, removed), nil
}

func (c *Client) applyAssignmentChanges(now control.Micros, resources []*anypb.Any, removedNames []string) error {
	assignments, err := c.parseAssignments(resources)
	if err != nil {
		return err
	}
	for _, name := range removedNames {
		assignments = append(assignments, assignment{name: name})
	}
	return c.updateAssignments(now, assignments)
}
