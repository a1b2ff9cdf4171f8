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

// errDropped ends streams that DropStreams drops.
var errDropped = errors.New("cut")

// subscription is what one stream asked for of one type, and what it was sent.
type subscription struct {
	active       bool
	names        map[string]bool   // of clusters: empty means all
	sent         map[string]string // resources by name, as bytes
	nonce        string
	namesChanged bool // an answer is due even where nothing else changed
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
