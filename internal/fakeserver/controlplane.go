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
	StartedAt string // as in RFC 3339; empty: not sent
}

// ControlPlane is an xDS control plane for tests: aggregated discovery (ADS), state of the world and incremental, with faults on demand.
type ControlPlane struct {
	discovery.UnimplementedAggregatedDiscoveryServiceServer
	server  *grpc.Server
	address string
	serving sync.WaitGroup

	mu       sync.Mutex
	clusters map[string][]Endpoint
	hidden   map[string]bool // clusters whose endpoints are never sent
	changes  int             // counts up; versions are made from it
	rollback int             // subtracted from the versions sent
	stalled  bool
	delay    time.Duration
	wake     chan struct{} // closed at each change
	drop     chan struct{} // closed to end all streams
	raw      []proto.Message
	nacks    []string
	acks     int
	streams  int
}

// NewControlPlane starts one on loopback.
func NewControlPlane(options ...grpc.ServerOption) (*ControlPlane, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &ControlPlane{server: grpc.NewServer(options...), address: listener.Addr().String(), clusters: map[string][]Endpoint{}, hidden: map[string]bool{},
		wake: make(chan struct{}), drop: make(chan struct{})}
	discovery.RegisterAggregatedDiscoveryServiceServer(p.server, p)
	p.serving.Go(func() { p.server.Serve(listener) })
	return p, nil
}

// Address is where it listens.
func (p *ControlPlane) Address() string { return p.address }

// Stop ends it and waits for its goroutines.
func (p *ControlPlane) Stop() {
	p.server.Stop()
	p.serving.Wait()
}

// Update changes the clusters, all at once, and returns when.
func (p *ControlPlane) Update(f func(clusters map[string][]Endpoint)) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.clusters)
	p.changes++
	p.wakeStreams()
	return time.Now()
}

func (p *ControlPlane) wakeStreams() {
	close(p.wake)
	p.wake = make(chan struct{})
}

// SetStalled has it send nothing until it is set back.
func (p *ControlPlane) SetStalled(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalled = on
	p.wakeStreams()
}

// SetDelay has it send everything later.
func (p *ControlPlane) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// SetHidden keeps a cluster's endpoints from being sent.
func (p *ControlPlane) SetHidden(cluster string, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hidden[cluster] = on
	p.wakeStreams()
}

// VersionPolicy is what a control plane does with its versions.
type VersionPolicy bool

// The ways: to go on counting, or to begin again with lower ones, as one that restarted does.
const (
	KeepVersions  VersionPolicy = false
	ResetVersions VersionPolicy = true
)

// DropStreams ends all streams.
func (p *ControlPlane) DropStreams(versions VersionPolicy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if versions == ResetVersions {
		p.rollback = p.changes
	}
	close(p.drop)
	p.drop = make(chan struct{})
	p.wakeStreams()
}

// SendRaw sends a message as it is, on every stream that is open.
func (p *ControlPlane) SendRaw(m proto.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.raw = append(p.raw, m)
	p.wakeStreams()
}

// Counts returns how many acknowledgements and streams there were, and the reasons of negative acknowledgements.
func (p *ControlPlane) Counts() (acks, streams int, nacks []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.acks, p.streams, slices.Clone(p.nacks)
}

func (p *ControlPlane) version() string { return strconv.Itoa(p.changes - p.rollback) }
