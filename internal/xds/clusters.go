package xds

import (
	"slices"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"

	"hollymast/control"
)

// warmingTime is how long withdrawn clusters stay while those that came with the same message have no endpoints yet, so that
// servers that move between clusters are never missing (make before break). It must leave most of the time within which
// nothing new may go to a withdrawn server.
const warmingTime = control.Micros(200_000)

// updateClusters applies clusters that are listed, new or not, and those that were removed, and returns the requests for the
// endpoints that this makes necessary.
func (c *Client) updateClusters(now control.Micros, clusters []parsedCluster, removed []string) []proto.Message {
	slices.Sort(removed)
	for _, cluster := range clusters {
		_, known := c.serviceNames[cluster.name]
		c.serviceNames[cluster.name] = cluster.service
		c.members.AddCluster(now, cluster.name)
		c.inlined[cluster.name] = cluster.inline != nil
		if cluster.inline != nil {
			c.members.SetOverprovisioning(cluster.name, cluster.inline.overprovisioning)
			c.members.SetEndpoints(now, cluster.name, cluster.inline.endpoints) // of an announced cluster: can't fail
		} else if !known {
			c.awaitedClusters[cluster.name] = true
		}
	}
	for _, name := range removed {
		delete(c.serviceNames, name)
		delete(c.inlined, name)
		delete(c.awaitedClusters, name)
	}
	if len(c.leavingClusters) == 0 {
		c.leavingSince = now
	}
	c.leavingClusters = append(c.leavingClusters, removed...)
	if len(c.awaitedClusters) == 0 {
		c.releaseClusters(now)
	}
	return c.subscribeEndpoints(c.subscribedServices())
}

// subscribedServices returns the services whose endpoints no cluster carries, ascending.
func (c *Client) subscribedServices() []string {
	var services []string
	for name, service := range c.serviceNames {
		if !c.inlined[name] {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return slices.Compact(services)
}

// subscribeEndpoints returns the requests that change the subscription to endpoints to the given names.
func (c *Client) subscribeEndpoints(names []string) []proto.Message {
	state := c.resourceTypes[EndpointType]
	if slices.Equal(names, state.names) {
		return nil
	}
	old := state.names
	state.names = names
	if c.variant == StateOfTheWorld {
		return []proto.Message{&discovery.DiscoveryRequest{Node: c.node, TypeUrl: EndpointType, ResourceNames: names, VersionInfo: state.version, ResponseNonce: state.nonce}}
	}
	r := &discovery.DeltaDiscoveryRequest{Node: c.node, TypeUrl: EndpointType}
	for _, name := range names {
		if _, found := slices.BinarySearch(old, name); !found {
			r.ResourceNamesSubscribe = append(r.ResourceNamesSubscribe, name)
		}
	}
	for _, name := range old {
		if _, found := slices.BinarySearch(names, name); !found {
			r.ResourceNamesUnsubscribe = append(r.ResourceNamesUnsubscribe, name)
			delete(state.versions, name)
		}
	}
	return []proto.Message{r}
}

// releaseClusters removes the withdrawn clusters that have not come back.
func (c *Client) releaseClusters(now control.Micros) {
	if len(c.leavingClusters) == 0 {
		return
	}
	c.members.Batch(now, func() {
		for _, name := range c.leavingClusters {
			if _, back := c.serviceNames[name]; !back {
				c.members.RemoveCluster(now, name)
			}
		}
	})
	c.leavingClusters = nil
}
