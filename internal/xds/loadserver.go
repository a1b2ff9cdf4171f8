package xds

import (
	"sync"
	"time"

	lrs "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"hollymast/control"
	"hollymast/internal/loadreport"
)

// gatherEvery is how often those who follow our view are asked for their loads: as often as somebody looks at a page.
const reportInterval = time.Second

// gatherer is the server's side of load reporting.
type loadServer struct {
	lrs.UnimplementedLoadReportingServiceServer
	mu      sync.Mutex
	reports *loadreport.Aggregator
}

// StreamLoadStats asks one follower for all its loads and keeps its latest until it goes.
func (g *loadServer) StreamLoadStats(st lrs.LoadReportingService_StreamLoadStatsServer) error {
	first, err := st.Recv()
	if err != nil {
		return err
	}
	node := first.GetNode().GetId()
	if node == "" {
		return status.Error(codes.InvalidArgument, "a node without an id")
	}
	if err := st.Send(&lrs.LoadStatsResponse{SendAllClusters: true, ReportEndpointGranularity: true, LoadReportingInterval: durationpb.New(reportInterval)}); err != nil {
		return err
	}
	defer func() {
		g.mu.Lock()
		g.reports.Remove(node)
		g.mu.Unlock()
	}()
	for {
		m, err := st.Recv()
		if err != nil {
			return err
		}
		r := parseReport(m.GetClusterStats(), control.Micros(time.Now().UnixMicro()))
		g.mu.Lock()
		ok := g.reports.Update(node, r)
		g.mu.Unlock()
		if !ok {
			return status.Error(codes.ResourceExhausted, "too many report already")
		}
	}
}

// Others gives what those who follow the view last reported, summed by server, and how many they are.
func (v *View) ReportedLoads() (lines []loadreport.EndpointStats, nodes int) {
	v.loadServer.mu.Lock()
	defer v.loadServer.mu.Unlock()
	return v.loadServer.reports.Sum()
}
