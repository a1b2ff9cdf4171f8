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

// ViewCluster is the name of the one cluster that a router's view holds.
const ViewCluster = "hollymast"

// Seen is a server as a router sees it.
type ServerView struct {
	Address                                 string
	Zone                                    string
	Cell                                    string
	Health                                  membership.Health // as seen here: unhealthy where it is suspect, whatever the source says
	Weight                                  float64
	StartedAt                               int64   // wall clock, microseconds since 1970; 0: long ago
	InFlight                                int     // executions and orders of this router that are out there
	HasLoadReport                           bool    // the server told its load
	Utilization, PendingLoads, PinnedMemory float64 // what it told; below zero: not that one
}

// facts are what does not change with every job.
func (s ServerView) withoutLoad() ServerView {
	s.InFlight, s.HasLoadReport, s.Utilization, s.PendingLoads, s.PinnedMemory = 0, false, 0, 0, 0
	return s
}

// View offers what a router sees as a control plane does: one cluster and its endpoints, by ADS, and by
// CDS and EDS of their own, in both variants, so that
// another installation or a second router can follow it.
type View struct {
	cache            cache.SnapshotCache
	server           *grpc.Server
	address          string
	stop             context.CancelFunc
	done             chan struct{}
	version          uint64
	published        []ServerView
	loadsPublishedAt control.Micros // when figures were last told
	loadServer       *loadServer
}

// everyone has all who ask see the same.
type sameForAll struct{}

func (sameForAll) ID(*core.Node) string { return ViewCluster }

// Bounds of those who follow: a few installations each with some routers.
const (
	maxStreams  = 64
	idleTimeout = 5 * time.Minute
)

// NewView begins to serve at an address; without credentials in plain text. Errors are those of listening.
func NewView(address string, creds credentials.TransportCredentials) (*View, error) {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	v := &View{loadServer: &loadServer{reports: loadreport.NewAggregator(maxStreams)}, cache: cache.NewSnapshotCache(true, sameForAll{}, nil), address: l.Addr().String(), stop: stop, done: make(chan struct{}),
		server: grpc.NewServer(grpc.Creds(creds), grpc.MaxConcurrentStreams(maxStreams), grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: idleTimeout}),
			grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 5 * time.Second, PermitWithoutStream: true}))}
	s := server.NewServer(ctx, v.cache, nil)
	discovery.RegisterAggregatedDiscoveryServiceServer(v.server, s)
	clusters.RegisterClusterDiscoveryServiceServer(v.server, s)
	endpoints.RegisterEndpointDiscoveryServiceServer(v.server, s)
	lrs.RegisterLoadReportingServiceServer(v.server, v.loadServer)
	go func() {
		defer close(v.done)
		v.server.Serve(l)
	}()
	return v, nil
}

// Address is where it is served.
func (v *View) Address() string { return v.address }

// Close ends it and all who follow.
func (v *View) Close() {
	v.stop()
	v.server.Stop()
	<-v.done
}

// figuresEvery is how often figures that change with every job are told by themselves: a second, as monitoring has it.
const loadPublishInterval = control.Micros(1_000_000)

// Publish has all who follow see these servers, if they are others than before. Figures that change all the time (in flight, and
// what servers tell of their load) are told with the next change of another, else now and again: else every job would be an
// update.
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
