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

// reportInterval is how often the nodes that follow the view report their loads: frequent enough for a person who watches a page.
const reportInterval = time.Second

// loadServer is the server side of load reporting.
type loadServer struct {
	lrs.UnimplementedLoadReportingServiceServer
	mu      sync.Mutex
	reports *loadreport.Aggregator
}

// StreamLoadStats requests the loads of all servers of a node, and keeps the node's latest report until the stream ends.
func (s *loadServer) StreamLoadStats(stream lrs.LoadReportingService_StreamLoadStatsServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	node := first.GetNode().GetId()
	if node == "" {
		return status.Error(codes.InvalidArgument, "a node without an id")
	}
	err = stream.Send(&lrs.LoadStatsResponse{SendAllClusters: true, ReportEndpointGranularity: true,
		LoadReportingInterval: durationpb.New(reportInterval)})
	if err != nil {
		return err
	}
	defer func() {
		s.mu.Lock()
		s.reports.Remove(node)
		s.mu.Unlock()
	}()
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		report := parseReport(m.GetClusterStats(), control.Micros(time.Now().UnixMicro()))
		s.mu.Lock()
		ok := s.reports.Update(node, report)
		s.mu.Unlock()
		if !ok {
			return status.Error(codes.ResourceExhausted, "too many report already")
		}
	}
}

// ReportedLoads returns the latest reports of the nodes that follow the view, summed by server, and the number of these nodes.
func (v *View) ReportedLoads() (loads []loadreport.EndpointStats, nodes int) {
	v.loadServer.mu.Lock()
	defer v.loadServer.mu.Unlock()
	return v.loadServer.reports.Sum()
}
