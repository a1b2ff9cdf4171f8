package fakeserver

import (
	"maps"
	"slices"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"
)

// fullStream is a stream of the state-of-the-world protocol variant.
type fullStream struct {
	plane         *ControlPlane
	server        discovery.AggregatedDiscoveryService_StreamAggregatedResourcesServer
	subscriptions subscriptions
}

// handle updates the subscription that a request is about.
func (s *fullStream) handle(r *discovery.DiscoveryRequest) {
	sub := s.subscriptions[r.TypeUrl]
	if sub == nil || r.ResponseNonce != "" && r.ResponseNonce != sub.nonce {
		return // it acknowledges an outdated response
	}
	s.plane.countAck(r.ResponseNonce, r.ErrorDetail)
	names := map[string]bool{}
	for _, name := range r.ResourceNames {
		names[name] = true
	}
	if !sub.active || !maps.Equal(names, sub.names) {
		sub.namesChanged = true
	}
	sub.active, sub.names = true, names
}

// pending returns a response with all subscribed resources for each resource type that has changed since the last response.
func (s *fullStream) pending() (messages []proto.Message) {
	for _, url := range resourceTypes {
		sub := s.subscriptions[url]
		if !sub.active || s.plane.stalled {
			continue
		}
		response := &discovery.DiscoveryResponse{TypeUrl: url, VersionInfo: s.plane.version()}
		current := map[string]string{}
		resources := s.plane.resources(url)
		for _, name := range slices.Sorted(maps.Keys(resources)) {
			if url == endpointURL && !sub.names[name] {
				continue
			}
			response.Resources = append(response.Resources, resources[name])
			current[name] = string(resources[name].Value)
		}
		if changed := sub.namesChanged || !maps.Equal(current, sub.sent); changed && (len(current) > 0 || url == clusterURL) {
			sub.sent, sub.namesChanged = current, false
			sub.nonce = s.plane.newNonce(url, len(messages))
			response.Nonce = sub.nonce
			messages = append(messages, response)
		}
	}
	return messages
}

// send sends a response. It skips raw messages of the other protocol variant.
func (s *fullStream) send(m proto.Message) error {
	r, ok := m.(*discovery.DiscoveryResponse)
	if !ok {
		return nil
	}
	if sub := s.subscriptions[r.TypeUrl]; sub != nil {
		sub.nonce = r.Nonce
	}
	return s.server.Send(r)
}
