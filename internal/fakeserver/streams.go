package fakeserver

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/protobuf/proto"
)

// errDropped ends streams that DropStreams drops.
var errDropped = errors.New("cut")

// subscription is what one stream asked for of one type, and what it was sent.
type subscription struct {
	active bool
	names  map[string]bool   // of clusters: empty means all
	sent   map[string]string // resources by name, as bytes
	nonce  string
	asked  bool // the names changed: an answer is due even where nothing else did
}

// subscriptions are a stream's, by type URL.
type subscriptions map[string]*subscription

func newSubscriptions() subscriptions {
	s := subscriptions{}
	for _, url := range resourceTypes {
		s[url] = &subscription{names: map[string]bool{}, sent: map[string]string{}}
	}
	return s
}

// stream is one variant of the protocol. Its methods but send are called with the control plane's lock held.
type stream[Request any] interface {
	handle(Request)
	pending() []proto.Message
	send(proto.Message) error
}

// StreamAggregatedResources serves the state of the world.
func (p *ControlPlane) StreamAggregatedResources(s discovery.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	return serveStream(s.Context(), p, receiveAll(s.Context(), s.Recv), &fullStream{p, s, newSubscriptions()})
}

// DeltaAggregatedResources serves changes.
func (p *ControlPlane) DeltaAggregatedResources(s discovery.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	return serveStream(s.Context(), p, receiveAll(s.Context(), s.Recv), &deltaStream{p, s, newSubscriptions()})
}

// receiveAll hands on what a stream receives until it ends. Its goroutine ends with the stream's handler, whose context ends then.
func receiveAll[T any](ctx context.Context, receive func() (T, error)) <-chan T {
	out := make(chan T)
	go func() {
		defer close(out)
		for {
			r, err := receive()
			if err != nil {
				return
			}
			select {
			case out <- r:
			case <-ctx.Done():
				return
			}
		}
	}()
	return out
}

// serveStream sends what is pending and then waits for a request or a change, until the stream ends.
func serveStream[Request any](ctx context.Context, p *ControlPlane, requests <-chan Request, s stream[Request]) error {
	p.mu.Lock()
	p.streams++
	drop, raw := p.drop, len(p.raw)
	p.mu.Unlock()
	for {
		p.mu.Lock()
		wake, delay := p.wake, p.delay
		messages := s.pending()
		if !p.stalled {
			messages = append(messages, p.raw[raw:]...)
			raw = len(p.raw)
		}
		p.mu.Unlock()
		if len(messages) > 0 && Sleep(ctx, delay) != nil {
			return ctx.Err()
		}
		for _, m := range messages {
			if err := s.send(m); err != nil {
				return err
			}
		}
		select {
		case <-drop:
			return errDropped
		default:
		}
		select {
		case r, open := <-requests:
			if !open {
				return nil
			}
			p.mu.Lock()
			s.handle(r)
			p.mu.Unlock()
		case <-wake:
		}
	}
}

// countAnswer counts a request that acknowledges a response, or refuses it.
func (p *ControlPlane) countAnswer(nonce string, refusal *status.Status) {
	switch {
	case refusal != nil:
		p.nacks = append(p.nacks, refusal.Message)
	case nonce != "":
		p.acks++
	}
}

// newNonce returns a nonce that no other response has.
func (p *ControlPlane) newNonce(url string, response int) string {
	return fmt.Sprint(url[len(url)-3:], p.changes, response, time.Now().UnixNano())
}

// fullStream is the state of the world variant.
type fullStream struct {
	plane         *ControlPlane
	server        discovery.AggregatedDiscoveryService_StreamAggregatedResourcesServer
	subscriptions subscriptions
}

func (s *fullStream) handle(r *discovery.DiscoveryRequest) {
	sub := s.subscriptions[r.TypeUrl]
	if sub == nil || r.ResponseNonce != "" && r.ResponseNonce != sub.nonce {
		return // it answers an earlier response
	}
	s.plane.countAnswer(r.ResponseNonce, r.ErrorDetail)
	names := map[string]bool{}
	for _, name := range r.ResourceNames {
		names[name] = true
	}
	if !sub.active || !maps.Equal(names, sub.names) {
		sub.asked = true
	}
	sub.active, sub.names = true, names
}

func (s *fullStream) pending() (messages []proto.Message) {
	for _, url := range resourceTypes {
		sub := s.subscriptions[url]
		if !sub.active || s.plane.stalled {
			continue
		}
		response := &discovery.DiscoveryResponse{TypeUrl: url, VersionInfo: s.plane.version()}
		now := map[string]string{}
		resources := s.plane.resources(url)
		for _, name := range slices.Sorted(maps.Keys(resources)) {
			if url == endpointURL && !sub.names[name] {
				continue
			}
			response.Resources = append(response.Resources, resources[name])
			now[name] = string(resources[name].Value)
		}
		if changed := sub.asked || !maps.Equal(now, sub.sent); changed && (len(now) > 0 || url == clusterURL) {
			sub.sent, sub.asked = now, false
			sub.nonce = s.plane.newNonce(url, len(messages))
			response.Nonce = sub.nonce
			messages = append(messages, response)
		}
	}
	return messages
}

// send sends a response; messages of the other variant are left out.
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

// deltaStream is the incremental variant.
type deltaStream struct {
	plane         *ControlPlane
	server        discovery.AggregatedDiscoveryService_DeltaAggregatedResourcesServer
	subscriptions subscriptions
}

func (s *deltaStream) handle(r *discovery.DeltaDiscoveryRequest) {
	sub := s.subscriptions[r.TypeUrl]
	if sub == nil {
		return
	}
	s.plane.countAnswer(r.ResponseNonce, r.ErrorDetail)
	if !sub.active {
		for name := range r.InitialResourceVersions {
			sub.sent[name] = "known" // from an earlier stream, its bytes are not: it is sent again or removed
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

// send sends a response; messages of the other variant are left out.
func (s *deltaStream) send(m proto.Message) error {
	r, ok := m.(*discovery.DeltaDiscoveryResponse)
	if !ok {
		return nil
	}
	return s.server.Send(r)
}
