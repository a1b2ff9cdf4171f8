package xds

import (
	"hollymast/control"
	"slices"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"
)

// warming is for how long clusters that were withdrawn stay while those that came with the same message have no endpoints
// yet, so that servers that move between clusters are never missing (make before break). It must leave most of the time
// within which nothing new may go to a withdrawn server.
const warmingTime = control.Micros(200_000)

// clustersAre takes in clusters that are there, new or not, and those that are gone, and asks for endpoints accordingly.
func (f *Client) updateClusters(now control.Micros, clusters []parsedCluster, removed []string) []proto.Message {
	slices.Sort(removed)
	for _, c := range clusters {
		_, before := f.serviceNames[c.name]
		f.serviceNames[c.name] = c.service
		f.members.AddCluster(now, c.name)
		if f.inlined[c.name] = c.inline != nil; c.inline != nil {
			f.members.SetOverprovisioning(c.name, c.inline.overprovisioning)
			f.members.SetEndpoints(now, c.name, c.inline.endpoints)
		} else if !before {
			f.awaitedClusters[c.name] = true
		}
	}
	for _, name := range removed {
		delete(f.serviceNames, name)
		delete(f.inlined, name)
		delete(f.awaitedClusters, name)
	}
	if len(f.leavingClusters) == 0 {
		f.leavingSince = now
	}
	f.leavingClusters = append(f.leavingClusters, removed...)
	if len(f.awaitedClusters) == 0 {
		f.releaseClusters(now)
	}
	var names []string
	for name, service := range f.serviceNames {
		if !f.inlined[name] {
			names = append(names, service)
		}
	}
	slices.Sort(names)
	return f.subscribeEndpoints(slices.Compact(names))
}

// ask asks for other endpoints than before, if they are others.
func (f *Client) subscribeEndpoints(names []string) []proto.Message {
	state := f.resourceTypes[EndpointType]
	if slices.Equal(names, state.names) {
		return nil
	}
	old := state.names
	state.names = names
	if !f.delta {
		return []proto.Message{&discovery.DiscoveryRequest{Node: f.node, TypeUrl: EndpointType, ResourceNames: names, VersionInfo: state.version, ResponseNonce: state.nonce}}
	}
	r := &discovery.DeltaDiscoveryRequest{Node: f.node, TypeUrl: EndpointType}
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

// release lets the clusters go that were withdrawn.
func (f *Client) releaseClusters(now control.Micros) {
	if len(f.leavingClusters) == 0 {
		return
	}
	f.members.Batch(now, func() {
		for _, name := range f.leavingClusters {
			if _, back := f.serviceNames[name]; !back {
				f.members.RemoveCluster(now, name)
			}
		}
	})
	f.leavingClusters = nil
}
