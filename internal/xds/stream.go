package xds

import (
	"context"
	"errors"
	"time"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	lrs "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	secrets "github.com/envoyproxy/go-control-plane/envoy/service/secret/v3"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
)

// Kind is which service is followed.
type Service uint8

// The services: aggregated discovery, that of secrets, and load reporting.
const (
	AggregatedDiscovery Service = iota
	SecretDiscovery
	LoadReporting
)

// largest is the largest message taken: ten thousand endpoints with metadata are some 2 MB.
const maxMessageSize = 64 << 20

// stream is either variant of the protocol.
type stream interface {
	send(proto.Message) error
	receive() (proto.Message, error)
}

type fullStream struct {
	discovery.AggregatedDiscoveryService_StreamAggregatedResourcesClient // that of secrets is the same
}

func (s fullStream) send(m proto.Message) error { return s.Send(m.(*discovery.DiscoveryRequest)) }

func (s fullStream) receive() (proto.Message, error) { return s.Recv() }

type deltaStream struct {
	discovery.AggregatedDiscoveryService_DeltaAggregatedResourcesClient
}

func (s deltaStream) send(m proto.Message) error { return s.Send(m.(*discovery.DeltaDiscoveryRequest)) }

func (s deltaStream) receive() (proto.Message, error) { return s.Recv() }

type loadStatsStream struct {
	lrs.LoadReportingService_StreamLoadStatsClient
}

func (r loadStatsStream) send(m proto.Message) error { return r.Send(m.(*lrs.LoadStatsRequest)) }

func (r loadStatsStream) receive() (proto.Message, error) { return r.Recv() }

// one is one stream's life. Asked tells that the first requests were sent.
func (s Transport) runStream(ctx context.Context, conn *grpc.ClientConn, d *dialer, f Protocol, answered func()) (asked bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client := discovery.NewAggregatedDiscoveryServiceClient(conn)
	var st stream
	switch {
	case s.Service == LoadReporting:
		c, err := lrs.NewLoadReportingServiceClient(conn).StreamLoadStats(ctx)
		if err != nil {
			return false, err
		}
		st = loadStatsStream{c}
	case s.Service == SecretDiscovery:
		c, err := secrets.NewSecretDiscoveryServiceClient(conn).StreamSecrets(ctx)
		if err != nil {
			return false, err
		}
		st = fullStream{c}
	case s.Delta:
		c, err := client.DeltaAggregatedResources(ctx)
		if err != nil {
			return false, err
		}
		st = deltaStream{c}
	default:
		c, err := client.StreamAggregatedResources(ctx)
		if err != nil {
			return false, err
		}
		st = fullStream{c}
	}
	for _, m := range f.Connected(s.Now()) {
		if err := st.send(m); err != nil {
			return false, err
		}
	}
	heard := make(chan proto.Message, 64)
	ended := make(chan error, 1)
	go func() {
		for {
			m, err := st.receive()
			if err != nil {
				ended <- err
				close(heard)
				return
			}
			select {
			case heard <- m:
			case <-ctx.Done():
				ended <- ctx.Err()
				close(heard)
				return
			}
		}
	}()
	level := false
	take := func(m proto.Message) error {
		answered()
		level = true
		for _, answer := range f.HandleResponse(s.Now(), m) {
			if err := st.send(answer); err != nil {
				return err
			}
		}
		s.notify(f)
		return nil
	}
	defer func() { // the receiver ends with the context
		cancel()
		for range heard {
		}
	}()
	alarm := time.NewTimer(s.tick(f))
	defer alarm.Stop()
	for {
		select {
		case m, open := <-heard:
			if !open {
				return true, <-ended
			}
			if err := take(m); err != nil {
				return true, err
			}
			alarm.Reset(s.tick(f))
		case <-alarm.C:
			if sp, speaks := f.(timedSender); speaks {
				for _, m := range sp.TimedRequests(s.Now()) {
					if err := st.send(m); err != nil {
						return true, err
					}
				}
				sp.TimedRequestsSent()
			}
			alarm.Reset(s.tick(f))
			s.notify(f)
		case looked := <-s.Refresh:
			asOf := s.Now()
			err := s.catchUp(d, heard, take)
			if err == nil && level && s.OnComplete != nil {
				s.OnComplete(asOf)
			}
			close(looked)
			switch {
			case errors.Is(err, errStreamEnded):
				return true, <-ended
			case err != nil:
				return true, err
			}
		}
	}
}
