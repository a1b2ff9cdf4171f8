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

// ViewCluster is the name of the only cluster in a router's view.
const ViewCluster = "hollymast"

// ServerView is a server as a router sees it.
type ServerView struct {
	Address       string
	Zone          string
	Cell          string
	Health        membership.Health // as this router sees it: an ejected server is unhealthy, whatever the source reports
	Weight        float64
	StartedAt     int64 // wall clock, microseconds since 1970; 0: long ago
	InFlight      int   // unanswered attempts and load commands of this router
	HasLoadReport bool
	// The server's reported load, with the meanings of control.LoadReport; negative: not reported.
	Utilization, PendingLoads, PinnedMemory float64
}

// withoutLoad returns the server without the fields that change with every request.
func (s ServerView) withoutLoad() ServerView {
	s.InFlight, s.HasLoadReport, s.Utilization, s.PendingLoads, s.PinnedMemory = 0, false, 0, 0, 0
	return s
}

// View is a control plane that serves the servers as a router sees them: one cluster and its endpoints, over ADS and over separate
// CDS and EDS streams, in both variants. Another installation or a second router can follow it. View also accepts load reports from
// the nodes that follow it. Publish must not be called concurrently.
type View struct {
	cache            cache.SnapshotCache
	server           *grpc.Server
	address          string
	stop             context.CancelFunc
	done             chan struct{} // closed when the server has stopped
	version          uint64
	published        []ServerView
	loadsPublishedAt control.Micros
	loadServer       *loadServer
}

// sharedNodeHash is a cache.NodeHash that gives all nodes the same snapshot.
type sharedNodeHash struct{}

func (sharedNodeHash) ID(*core.Node) string { return ViewCluster }

// Bounds for the nodes that follow the view: a few installations with a few routers each.
const (
	maxStreams  = 64
	idleTimeout = 5 * time.Minute
	// minPingInterval is the shortest ping interval that is tolerated: half of a Transport's.
	minPingInterval = pingAfter / 2
)

// NewView starts a server at the address, in plain text if creds is nil. It returns an error if it can't listen there.
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
		cache:      cache.NewSnapshotCache(true, sharedNodeHash{}, nil),
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

// Address returns the address at which the view is served.
func (v *View) Address() string { return v.address }

// Close stops the server and ends all its streams.
func (v *View) Close() {
	v.stop()
	v.server.Stop()
	<-v.done
}

// loadPublishInterval is the minimum time between versions that differ only in loads: one second, a common interval in monitoring.
const loadPublishInterval = control.Micros(1_000_000)

// Publish publishes a new version of the servers if they differ from the last version. If only loads differ, it publishes at most
// one version per loadPublishInterval; otherwise every request would cause one.
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
