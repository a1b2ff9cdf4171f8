package fakeserver

import (
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
)

// Endpoint is an endpoint as the control plane sends it.
type Endpoint struct {
	Address   string
	Health    core.HealthStatus
	Zone      string
	Cell      string
	Weight    uint32
	StartedAt string // RFC 3339 time; empty: not sent
}

// ControlPlane is an xDS control plane for tests. It serves aggregated discovery (ADS), state-of-the-world and incremental, and
// can be made to fail.
type ControlPlane struct {
	discovery.UnimplementedAggregatedDiscoveryServiceServer
	server  *grpc.Server
	address string
	serving sync.WaitGroup

	mu             sync.Mutex
	clusters       map[string][]Endpoint
	hiddenClusters map[string]bool // clusters whose endpoints are not sent
	changes        int             // number of changes; determines the version
	versionOffset  int             // subtracted from changes in the version sent
	stalled        bool
	delay          time.Duration
	changed        chan struct{} // closed and replaced at each change
	dropped        chan struct{} // closed to end all streams
	rawMessages    []proto.Message
	nacks          []string
	acks           int
	streams        int
}

// NewControlPlane starts a control plane on loopback.
func NewControlPlane(options ...grpc.ServerOption) (*ControlPlane, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &ControlPlane{server: grpc.NewServer(options...), address: listener.Addr().String(), clusters: map[string][]Endpoint{}, hiddenClusters: map[string]bool{},
		changed: make(chan struct{}), dropped: make(chan struct{})}
	discovery.RegisterAggregatedDiscoveryServiceServer(p.server, p)
	p.serving.Go(func() { p.server.Serve(listener) })
	return p, nil
}

// Address returns the address that the control plane listens on.
func (p *ControlPlane) Address() string { return p.address }

// Stop stops the control plane and waits for its goroutines.
func (p *ControlPlane) Stop() {
	p.server.Stop()
	p.serving.Wait()
}

// Update applies f to the clusters as one change and returns the time of the change.
func (p *ControlPlane) Update(f func(clusters map[string][]Endpoint)) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.clusters)
	p.changes++
	p.notifyStreams()
	return time.Now()
}

// notifyStreams makes all streams check for pending messages. The caller holds mu.
func (p *ControlPlane) notifyStreams() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetStalled stops all sending, or resumes it.
func (p *ControlPlane) SetStalled(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalled = on
	p.notifyStreams()
}

// SetDelay delays everything sent from now on.
func (p *ControlPlane) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// SetHidden stops sending the endpoints of a cluster, or resumes it.
func (p *ControlPlane) SetHidden(cluster string, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hiddenClusters[cluster] = on
	p.notifyStreams()
}

// VersionPolicy says how versions continue after streams have been dropped.
type VersionPolicy bool

// The policies: versions keep increasing, or restart from low numbers as after a restart of the control plane.
const (
	KeepVersions  VersionPolicy = false
	ResetVersions VersionPolicy = true
)

// DropStreams ends all streams with an error.
func (p *ControlPlane) DropStreams(versions VersionPolicy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if versions == ResetVersions {
		p.versionOffset = p.changes
	}
	close(p.dropped)
	p.dropped = make(chan struct{})
	p.notifyStreams()
}

// SendRaw sends a message unchanged on every open stream.
func (p *ControlPlane) SendRaw(m proto.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rawMessages = append(p.rawMessages, m)
	p.notifyStreams()
}

// Counts returns the number of acknowledgements and of streams so far, and the error messages of negative acknowledgements.
func (p *ControlPlane) Counts() (acks, streams int, nacks []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.acks, p.streams, slices.Clone(p.nacks)
}

func (p *ControlPlane) version() string { return strconv.Itoa(p.changes - p.versionOffset) }
