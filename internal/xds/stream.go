package xds

import (
	"context"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	lrs "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	secrets "github.com/envoyproxy/go-control-plane/envoy/service/secret/v3"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
)

// Service is a service of a control plane.
type Service uint8

// The services.
const (
	AggregatedDiscovery Service = iota // ADS
	SecretDiscovery                    // SDS
	LoadReporting                      // LRS
)

// stream is a gRPC stream of any service and variant.
type stream interface {
	send(proto.Message) error
	receive() (proto.Message, error)
}

// fullStream is a state-of-the-world stream, of aggregated or of secret discovery.
type fullStream struct {
	discovery.AggregatedDiscoveryService_StreamAggregatedResourcesClient
}

func (s fullStream) send(m proto.Message) error { return s.Send(m.(*discovery.DiscoveryRequest)) }

func (s fullStream) receive() (proto.Message, error) { return s.Recv() }

// deltaStream is an incremental stream.
type deltaStream struct {
	discovery.AggregatedDiscoveryService_DeltaAggregatedResourcesClient
}

func (s deltaStream) send(m proto.Message) error { return s.Send(m.(*discovery.DeltaDiscoveryRequest)) }

func (s deltaStream) receive() (proto.Message, error) { return s.Recv() }

type loadStatsStream struct {
	lrs.LoadReportingService_StreamLoadStatsClient
}

func (s loadStatsStream) send(m proto.Message) error { return s.Send(m.(*lrs.LoadStatsRequest)) }

func (s loadStatsStream) receive() (proto.Message, error) { return s.Recv() }

// openStream opens a stream of the transport's service. It lasts until the context ends.
func (t Transport) openStream(ctx context.Context, conn *grpc.ClientConn) (stream, error) {
	switch {
	case t.Service == LoadReporting:
		s, err := lrs.NewLoadReportingServiceClient(conn).StreamLoadStats(ctx)
		return loadStatsStream{s}, err
	case t.Service == SecretDiscovery:
		s, err := secrets.NewSecretDiscoveryServiceClient(conn).StreamSecrets(ctx)
		return fullStream{s}, err
	case t.Variant == Incremental:
		s, err := discovery.NewAggregatedDiscoveryServiceClient(conn).DeltaAggregatedResources(ctx)
		return deltaStream{s}, err
	default:
		s, err := discovery.NewAggregatedDiscoveryServiceClient(conn).StreamAggregatedResources(ctx)
		return fullStream{s}, err
	}
}
