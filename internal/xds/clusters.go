package xds

import (
	"slices"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"

	"hollymast/control"
)

// warmingTime is how long removed clusters are kept while new clusters have no endpoints yet. It keeps servers that move between
// clusters listed during the move (make before break). It must be a small part of the grace period, after which a withdrawn server
// must get no new requests.
const warmingTime = control.Micros(200_000)

// updateClusters applies new or changed clusters and the names of removed ones. It returns the requests that change the
// subscription to endpoints accordingly.
func (c *Client) updateClusters(now control.Micros, clusters []parsedCluster, removed []string) []proto.Message {
	slices.Sort(removed)
	for _, cluster := range clusters {
		_, known := c.serviceNames[cluster.name]
		c.serviceNames[cluster.name] = cluster.service
		c.members.AddCluster(now, cluster.name)
		c.inlined[cluster.name] = cluster.inline != nil
		if cluster.inline != nil {
			c.members.SetOverprovisioning(cluster.name, cluster.inline.overprovisioning)
			c.members.SetEndpoints(now, cluster.name, cluster.inline.endpoints) // can't fail for an announced cluster
		} else if !known {
			c.warmingClusters[cluster.name] = true
		}
	}
	for _, name := range removed {
		delete(c.serviceNames, name)
		delete(c.inlined, name)
		delete(c.warmingClusters, name)
	}
	if len(c.withdrawnClusters) == 0 {
		c.withdrawnSince = now
	}
	c.withdrawnClusters = append(c.withdrawnClusters, removed...)
	if len(c.warmingClusters) == 0 {
		c.removeWithdrawnClusters(now)
	}
	return c.subscribeEndpoints(c.subscribedServices())
}

// subscribedServices returns the services to subscribe to, in ascending order: those of clusters without inlined endpoints.
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

// subscribeEndpoints sets the endpoint subscription to the given names and returns the requests for it.
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

// removeWithdrawnClusters removes the withdrawn clusters, unless the control plane has listed them again.
func (c *Client) removeWithdrawnClusters(now control.Micros) {
	if len(c.withdrawnClusters) == 0 {
		return
	}
	c.members.Batch(now, func() {
		for _, name := range c.withdrawnClusters {
			if _, back := c.serviceNames[name]; !back {
				c.members.RemoveCluster(now, name)
			}
		}
	})
	c.withdrawnClusters = nil
}
