package fakeserver

import (
	"context"
	"errors"
	"fmt"
	"time"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/protobuf/proto"
)

// errDropped ends the streams that DropStreams drops. Clients receive its text.
var errDropped = errors.New("cut")

// subscription is the state of one resource type on one stream.
type subscription struct {
	active       bool
	names        map[string]bool   // resource names asked for; ignored for clusters, which are all sent
	sent         map[string]string // resources by name, as encoded bytes
	nonce        string
	namesChanged bool // a response is due even if no resource has changed
}

// subscriptions are the subscriptions of a stream, keyed by type URL.
type subscriptions map[string]*subscription

func newSubscriptions() subscriptions {
	s := subscriptions{}
	for _, url := range resourceTypes {
		s[url] = &subscription{names: map[string]bool{}, sent: map[string]string{}}
	}
	return s
}

// stream is a stream of one protocol variant. All methods except send are called with the control plane's lock held.
type stream[Request any] interface {
	handle(Request)           // handles a request of the client: a subscription or an acknowledgement
	pending() []proto.Message // returns the responses that are due, and records them as sent
	send(proto.Message) error
}

// StreamAggregatedResources implements the state-of-the-world variant.
func (p *ControlPlane) StreamAggregatedResources(s discovery.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	return serveStream(s.Context(), p, receiveAll(s.Context(), s.Recv), &fullStream{p, s, newSubscriptions()})
}

// DeltaAggregatedResources implements the incremental variant.
func (p *ControlPlane) DeltaAggregatedResources(s discovery.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	return serveStream(s.Context(), p, receiveAll(s.Context(), s.Recv), &deltaStream{p, s, newSubscriptions()})
}

// receiveAll returns a channel of the messages that a stream receives; it is closed when the stream ends. The goroutine exits at
// the latest when the stream's handler returns, which ends the context.
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

// serveStream sends pending messages and then waits for a request or a change, until the stream ends.
func serveStream[Request any](ctx context.Context, p *ControlPlane, requests <-chan Request, s stream[Request]) error {
	p.mu.Lock()
	p.streams++
	dropped, rawSent := p.dropped, len(p.rawMessages)
	p.mu.Unlock()
	for {
		p.mu.Lock()
		changed, delay := p.changed, p.delay
		messages := s.pending()
		if !p.stalled {
			messages = append(messages, p.rawMessages[rawSent:]...)
			rawSent = len(p.rawMessages)
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
		case <-dropped:
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
		case <-changed:
		}
	}
}

// countAck counts a request that acknowledges a response, positively or negatively.
func (p *ControlPlane) countAck(nonce string, nack *status.Status) {
	switch {
	case nack != nil:
		p.nacks = append(p.nacks, nack.Message)
	case nonce != "":
		p.acks++
	}
}

// newNonce returns a nonce that is unique among responses.
func (p *ControlPlane) newNonce(url string, response int) string {
	return fmt.Sprint(url[len(url)-3:], p.changes, response, time.Now().UnixNano())
}
