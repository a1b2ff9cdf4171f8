package fakeserver

import (
	"maps"
	"slices"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"
)

// deltaStream is a stream of the incremental protocol variant.
type deltaStream struct {
	plane         *ControlPlane
	server        discovery.AggregatedDiscoveryService_DeltaAggregatedResourcesServer
	subscriptions subscriptions
}

// handle updates the subscription that a request is about.
func (s *deltaStream) handle(r *discovery.DeltaDiscoveryRequest) {
	sub := s.subscriptions[r.TypeUrl]
	if sub == nil {
		return
	}
	s.plane.countAck(r.ResponseNonce, r.ErrorDetail)
	if !sub.active {
		for name := range r.InitialResourceVersions {
			sub.sent[name] = "known" // sent on an earlier stream; contents unknown here, so it is sent again or removed
		}
	}
	sub.active = true
	for _, name := range r.ResourceNamesSubscribe {
		sub.names[name] = true
	}
	for _, name := range r.ResourceNamesUnsubscribe {
		delete(sub.names, name)
		delete(sub.sent, name)
	}
}

// pending returns a response for each resource type with resources that have changed or were removed since they were last sent.
func (s *deltaStream) pending() (messages []proto.Message) {
	for _, url := range resourceTypes {
		sub := s.subscriptions[url]
		if !sub.active || s.plane.stalled {
			continue
		}
		response := &discovery.DeltaDiscoveryResponse{TypeUrl: url, SystemVersionInfo: s.plane.version()}
		resources := s.plane.resources(url)
		for _, name := range slices.Sorted(maps.Keys(resources)) {
			value := string(resources[name].Value)
			if url == endpointURL && !sub.names[name] || sub.sent[name] == value {
				continue
			}
			sub.sent[name] = value
			response.Resources = append(response.Resources, &discovery.Resource{Name: name, Version: s.plane.version(), Resource: resources[name]})
		}
		for _, name := range slices.Sorted(maps.Keys(sub.sent)) {
			if _, exists := s.plane.clusters[name]; !exists {
				delete(sub.sent, name)
				response.RemovedResources = append(response.RemovedResources, name)
			}
		}
		if len(response.Resources)+len(response.RemovedResources) > 0 {
			sub.nonce = s.plane.newNonce(url, len(messages))
			response.Nonce = sub.nonce
			messages = append(messages, response)
		}
	}
	return messages
}

// send sends a response. It skips raw messages of the other protocol variant.
func (s *deltaStream) send(m proto.Message) error {
	r, ok := m.(*discovery.DeltaDiscoveryResponse)
	if !ok {
		return nil
	}
	return s.server.Send(r)
}
