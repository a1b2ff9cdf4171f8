package fakeserver

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	cluster "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/structpb"
)

// Member is an endpoint as the pretend control plane tells it.
type Endpoint struct {
	Address   string
	Health    core.HealthStatus
	Zone      string
	Cell      string
	Weight    uint32
	StartedAt string // as in RFC 3339; empty: not told
}

// Plane is a pretend control plane: ADS, state of the world and delta, with faults on demand.
type ControlPlane struct {
	discovery.UnimplementedAggregatedDiscoveryServiceServer
	server  *grpc.Server
	address string

	mu       sync.Mutex
	clusters map[string][]Endpoint
	hidden   map[string]bool // clusters whose endpoints are never sent
	changes  int             // counts up; versions are told from it
	back     int             // taken off the versions told
	stalled  bool
	delay    time.Duration
	wake     chan struct{} // closed at each change
	cut      chan struct{} // closed to end all streams
	raw      []proto.Message
	Nacks    []string
	Acks     int
	Streams  int
}

// NewPlane starts one on loopback.
func NewControlPlane(options ...grpc.ServerOption) (*ControlPlane, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &ControlPlane{server: grpc.NewServer(options...), address: l.Addr().String(), clusters: map[string][]Endpoint{}, hidden: map[string]bool{},
		wake: make(chan struct{}), cut: make(chan struct{})}
	discovery.RegisterAggregatedDiscoveryServiceServer(p.server, p)
	go p.server.Serve(l)
	return p, nil
}

// Address is where it listens.
func (p *ControlPlane) Address() string { return p.address }

// Stop ends it.
func (p *ControlPlane) Stop() { p.server.Stop() }

// Change changes what it tells, all at once, and gives when.
func (p *ControlPlane) Update(f func(clusters map[string][]Endpoint)) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.clusters)
	p.changes++
	p.stir()
	return time.Now()
}

func (p *ControlPlane) stir() {
	close(p.wake)
	p.wake = make(chan struct{})
}

// Stall has it say nothing until it is told to go on.
func (p *ControlPlane) SetStalled(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalled = on
	p.stir()
}

// Delay has it say everything later.
func (p *ControlPlane) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Hide keeps a cluster's endpoints from being sent.
func (p *ControlPlane) SetHidden(name string, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hidden[name] = on
	p.stir()
}

// Cut ends all streams. Lower has it tell lower versions from then on, as one that restarted does.
func (p *ControlPlane) DropStreams(lower bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if lower {
		p.back = p.changes
	}
	close(p.cut)
	p.cut = make(chan struct{})
	p.stir()
}

// Send sends a message as it is, on every stream that has it not yet.
func (p *ControlPlane) SendRaw(m proto.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.raw = append(p.raw, m)
	p.stir()
}

// Counts tells how many ACKs, NACKs and streams there were.
func (p *ControlPlane) Counts() (acks, streams int, nacks []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Acks, p.Streams, slices.Clone(p.Nacks)
}

// The types of resources.
const (
	clusterURL  = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	endpointURL = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
)

// resources gives the resources of a type by name.
func (p *ControlPlane) resources(url string) map[string]*anypb.Any {
	out := map[string]*anypb.Any{}
	for name, members := range p.clusters {
		var m proto.Message
		if url == clusterURL {
			m = &cluster.Cluster{Name: name, ClusterDiscoveryType: &cluster.Cluster_Type{Type: cluster.Cluster_EDS},
				EdsClusterConfig: &cluster.Cluster_EdsClusterConfig{EdsConfig: &core.ConfigSource{ConfigSourceSpecifier: &core.ConfigSource_Ads{Ads: &core.AggregatedConfigSource{}}}}}
		} else if m = LoadAssignment(name, members); p.hidden[name] {
			continue
		}
		out[name] = PackAny(m)
	}
	return out
}

// Any packs a message.
func PackAny(m proto.Message) *anypb.Any {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err) // our own message
	}
	return &anypb.Any{TypeUrl: "type.googleapis.com/" + string(m.ProtoReflect().Descriptor().FullName()), Value: b}
}

// Assignment gives members in the protocol's form, a locality each.
func LoadAssignment(name string, members []Endpoint) *endpoint.ClusterLoadAssignment {
	a := &endpoint.ClusterLoadAssignment{ClusterName: name}
	for _, m := range members {
		host, port, _ := net.SplitHostPort(m.Address)
		n, _ := strconv.Atoi(port)
		e := &endpoint.LbEndpoint{HealthStatus: m.Health, HostIdentifier: &endpoint.LbEndpoint_Endpoint{Endpoint: &endpoint.Endpoint{
			Address: &core.Address{Address: &core.Address_SocketAddress{SocketAddress: &core.SocketAddress{Address: host,
				PortSpecifier: &core.SocketAddress_PortValue{PortValue: uint32(n)}}}}}}}
		if m.StartedAt != "" {
			e.Metadata = &core.Metadata{FilterMetadata: map[string]*structpb.Struct{"hollymast": {Fields: map[string]*structpb.Value{"born": structpb.NewStringValue(m.StartedAt)}}}}
		}
		a.Endpoints = append(a.Endpoints, &endpoint.LocalityLbEndpoints{Locality: &core.Locality{Zone: m.Zone, SubZone: m.Cell}, LbEndpoints: []*endpoint.LbEndpoint{e}})
	}
	return a
}

// asked is what one stream wants of one type, and was sent.
type asked struct {
	on    bool
	names map[string]bool // empty of clusters: all
	sent  map[string]string
	nonce string
	fresh bool // the names changed: an answer is due even where nothing else did
}

func wants() map[string]*asked {
	return map[string]*asked{clusterURL: {names: map[string]bool{}, sent: map[string]string{}}, endpointURL: {names: map[string]bool{}, sent: map[string]string{}}}
}

func (p *ControlPlane) version() string { return strconv.Itoa(p.changes - p.back) }

// pump hands on what a stream receives until it ends.
func pump[T any](ctx context.Context, receive func() (T, error)) <-chan T {
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

// StreamAggregatedResources serves the state of the world.
func (p *ControlPlane) StreamAggregatedResources(s discovery.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	requests := pump(s.Context(), s.Recv)
	want := wants()
	hear := func(r *discovery.DiscoveryRequest) {
		w := want[r.TypeUrl]
		if w == nil || r.ResponseNonce != "" && r.ResponseNonce != w.nonce {
			return // stale
		}
		p.judged(r.ErrorDetail != nil, r.GetErrorDetail().GetMessage(), r.ResponseNonce != "")
		names := map[string]bool{}
		for _, n := range r.ResourceNames {
			names[n] = true
		}
		if !w.on || !maps.Equal(names, w.names) {
			w.fresh = true
		}
		w.on, w.names = true, names
	}
	sent := 0
	due := func() (out []proto.Message) {
		for _, url := range []string{clusterURL, endpointURL} { // clusters before their endpoints
			w := want[url]
			if !w.on || p.stalled {
				continue
			}
			r := &discovery.DiscoveryResponse{TypeUrl: url, VersionInfo: p.version()}
			now, changed := map[string]string{}, w.fresh
			resources := p.resources(url)
			for _, name := range slices.Sorted(maps.Keys(resources)) {
				if url == endpointURL && !w.names[name] {
					continue
				}
				r.Resources = append(r.Resources, resources[name])
				now[name] = string(resources[name].Value)
			}
			if changed = changed || !maps.Equal(now, w.sent); changed && (len(now) > 0 || url == clusterURL) {
				w.sent, w.fresh = now, false
				w.nonce = fmt.Sprint(url[len(url)-3:], p.changes, len(out), time.Now().UnixNano())
				r.Nonce = w.nonce
				out = append(out, r)
			}
		}
		return out
	}
	return p.serve(s.Context(), next(p, requests, hear), due, &sent, func(m proto.Message) error {
		r, ok := m.(*discovery.DiscoveryResponse)
		if !ok {
			return nil
		}
		if w := want[r.TypeUrl]; w != nil {
			w.nonce = r.Nonce
		}
		return s.Send(r)
	})
}

// DeltaAggregatedResources serves changes.
func (p *ControlPlane) DeltaAggregatedResources(s discovery.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	requests := pump(s.Context(), s.Recv)
	want := wants()
	hear := func(r *discovery.DeltaDiscoveryRequest) {
		w := want[r.TypeUrl]
		if w == nil {
			return
		}
		p.judged(r.ErrorDetail != nil, r.GetErrorDetail().GetMessage(), r.ResponseNonce != "")
		if !w.on {
			for name := range r.InitialResourceVersions {
				w.sent[name] = "known" // of another stream: its bytes are not, so it is sent again or taken back
			}
		}
		w.on = true
		for _, n := range r.ResourceNamesSubscribe {
			w.names[n] = true
		}
		for _, n := range r.ResourceNamesUnsubscribe {
			delete(w.names, n)
			delete(w.sent, n)
		}
	}
	sent := 0
	due := func() (out []proto.Message) {
		for _, url := range []string{clusterURL, endpointURL} {
			w := want[url]
			if !w.on || p.stalled {
				continue
			}
			r := &discovery.DeltaDiscoveryResponse{TypeUrl: url, SystemVersionInfo: p.version()}
			resources := p.resources(url)
			for _, name := range slices.Sorted(maps.Keys(resources)) {
				if url == endpointURL && !w.names[name] || w.sent[name] == string(resources[name].Value) {
					continue
				}
				w.sent[name] = string(resources[name].Value)
				r.Resources = append(r.Resources, &discovery.Resource{Name: name, Version: p.version(), Resource: resources[name]})
			}
			for _, name := range slices.Sorted(maps.Keys(w.sent)) {
				if _, there := p.clusters[name]; !there {
					delete(w.sent, name)
					r.RemovedResources = append(r.RemovedResources, name)
				}
			}
			if len(r.Resources)+len(r.RemovedResources) > 0 {
				w.nonce = fmt.Sprint(url[len(url)-3:], p.changes, len(out), time.Now().UnixNano())
				r.Nonce = w.nonce
				out = append(out, r)
			}
		}
		return out
	}
	return p.serve(s.Context(), next(p, requests, hear), due, &sent, func(m proto.Message) error {
		if r, ok := m.(*discovery.DeltaDiscoveryResponse); ok {
			return s.Send(r)
		}
		return nil
	})
}

// next gives what waits for a request or a change; false tells that the stream has ended.
func next[T any](p *ControlPlane, requests <-chan T, hear func(T)) func(wake <-chan struct{}) bool {
	return func(wake <-chan struct{}) bool {
		select {
		case r, open := <-requests:
			if !open {
				return false
			}
			p.mu.Lock()
			hear(r)
			p.mu.Unlock()
		case <-wake:
		}
		return true
	}
}

func (p *ControlPlane) judged(refused bool, why string, answers bool) {
	switch {
	case refused:
		p.Nacks = append(p.Nacks, why)
	case answers:
		p.Acks++
	}
}

// serve is one stream: it waits for a request or a change, and sends what is due.
func (p *ControlPlane) serve(ctx context.Context, wait func(wake <-chan struct{}) bool, due func() []proto.Message, raw *int,
	send func(proto.Message) error) error {
	p.mu.Lock()
	p.Streams++
	cut := p.cut
	*raw = len(p.raw)
	p.mu.Unlock()
	for {
		p.mu.Lock()
		wake := p.wake
		out := due()
		for ; *raw < len(p.raw) && !p.stalled; *raw++ {
			out = append(out, p.raw[*raw])
		}
		delay := p.delay
		p.mu.Unlock()
		if len(out) > 0 && Sleep(ctx, delay) != nil {
			return ctx.Err()
		}
		for _, m := range out {
			if err := send(m); err != nil {
				return err
			}
		}
		select {
		case <-cut:
			return fmt.Errorf("cut")
		default:
		}
		if !wait(wake) {
			return nil
		}
	}
}
