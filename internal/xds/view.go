package xds

import (
	"cmp"
	"context"
	"net"
	"slices"
	"strconv"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	clusters "github.com/envoyproxy/go-control-plane/envoy/service/cluster/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	endpoints "github.com/envoyproxy/go-control-plane/envoy/service/endpoint/v3"
	lrs "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"github.com/envoyproxy/go-control-plane/pkg/cache/types"
	cache "github.com/envoyproxy/go-control-plane/pkg/cache/v3"
	"github.com/envoyproxy/go-control-plane/pkg/server/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"hollymast/control"
	"hollymast/internal/loadreport"
	"hollymast/internal/membership"
)

// ViewCluster is the name of the one cluster of a router's view.
const ViewCluster = "hollymast"

// ServerView is a server as a router sees it.
type ServerView struct {
	Address       string
	Zone          string
	Cell          string
	Health        membership.Health // as seen here: unhealthy where it is ejected, whatever the source says
	Weight        float64
	StartedAt     int64 // wall clock, microseconds since 1970; 0: long ago
	InFlight      int   // attempts and load commands of this router that are not answered
	HasLoadReport bool
	// The load that the server reported, each as control.LoadReport has it; below zero: not reported.
	Utilization, PendingLoads, PinnedMemory float64
}

// withoutLoad returns the server without what changes at every request.
func (s ServerView) withoutLoad() ServerView {
	s.InFlight, s.HasLoadReport, s.Utilization, s.PendingLoads, s.PinnedMemory = 0, false, 0, 0, 0
	return s
}

// View serves what a router sees, as a control plane does: one cluster and its endpoints, by ADS and by CDS and EDS of their
// own, in both variants, so that another installation or a second router can follow it. It also takes load reports from those
// who follow it. Publish must not be called concurrently.
type View struct {
	cache            cache.SnapshotCache
	server           *grpc.Server
	address          string
	stop             context.CancelFunc
	done             chan struct{} // closed when the server has ended
	version          uint64
	published        []ServerView
	loadsPublishedAt control.Micros
	loadServer       *loadServer
}

// sameForAll gives all nodes the same snapshot.
type sameForAll struct{}

func (sameForAll) ID(*core.Node) string { return ViewCluster }

// Bounds of those who follow: a few installations, each with some routers.
const (
	maxStreams  = 64
	idleTimeout = 5 * time.Minute
	// minPingInterval is half the interval at which a Transport pings.
	minPingInterval = pingAfter / 2
)

// NewView starts to serve at an address; without credentials in plain text. Errors are those of listening.
func NewView(address string, creds credentials.TransportCredentials) (*View, error) {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	v := &View{
		cache:      cache.NewSnapshotCache(true, sameForAll{}, nil),
		address:    listener.Addr().String(),
		stop:       stop,
		done:       make(chan struct{}),
		loadServer: &loadServer{reports: loadreport.NewAggregator(maxStreams)},
		server: grpc.NewServer(
			grpc.Creds(creds),
			grpc.MaxConcurrentStreams(maxStreams),
			grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: idleTimeout}),
			grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval, PermitWithoutStream: true})),
	}
	s := server.NewServer(ctx, v.cache, nil)
	discovery.RegisterAggregatedDiscoveryServiceServer(v.server, s)
	clusters.RegisterClusterDiscoveryServiceServer(v.server, s)
	endpoints.RegisterEndpointDiscoveryServiceServer(v.server, s)
	lrs.RegisterLoadReportingServiceServer(v.server, v.loadServer)
	go func() {
		defer close(v.done)
		v.server.Serve(listener)
	}()
	return v, nil
}

// Address returns where the view is served.
func (v *View) Address() string { return v.address }

// Close ends the server and all its streams.
func (v *View) Close() {
	v.stop()
	v.server.Stop()
	<-v.done
}

// loadPublishInterval is how often a change of loads alone makes a new version: a second, as monitoring has it.
const loadPublishInterval = control.Micros(1_000_000)

// Publish makes a new version of the servers, if they differ from the last. A change of their loads alone makes one only at
// each loadPublishInterval: otherwise every request would.
func (v *View) Publish(now control.Micros, servers []ServerView) error {
	slices.SortFunc(servers, func(a, b ServerView) int { return cmp.Compare(a.Address, b.Address) })
	same := slices.EqualFunc(servers, v.published, func(a, b ServerView) bool { return a.withoutLoad() == b.withoutLoad() })
	if v.version > 0 && same && (now < v.loadsPublishedAt+loadPublishInterval || slices.Equal(servers, v.published)) {
		return nil
	}
	v.published, v.loadsPublishedAt = servers, now
	v.version++
	s, err := cache.NewSnapshot(strconv.FormatUint(v.version, 10), map[string][]types.Resource{ClusterType: {viewCluster()}, EndpointType: {assignmentOf(servers)}})
	if err != nil {
		return err
	}
	return v.cache.SetSnapshot(context.Background(), ViewCluster, s)
}
