// Package xds follows a control plane by Envoy's discovery protocol: aggregated discovery (ADS) of clusters (CDS) and
// endpoints (EDS), state of the world or delta. Follower is the protocol itself, free of I/O and clocks; Follow carries its
// messages over gRPC.
package xds

import (
	"fmt"
	"maps"
	"slices"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	status "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"hollymast/control"
	"hollymast/internal/membership"
)

// The types of resources, by their URLs.
const (
	ClusterType  = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	EndpointType = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
)

// Bounds limit what is accepted of a control plane; more is refused with a NACK.
type Bounds struct {
	Clusters  int
	Endpoints int // of one cluster
}

// Usual are bounds far beyond a fleet of ten thousand servers.
var DefaultBounds = Bounds{Clusters: 10_000, Endpoints: 100_000}

// Follower is the client's side of the protocol. A stream at a time: Connected, Heard for each message, Broken at its end.
type Client struct {
	members *membership.Model
	bounds  Bounds
	node    *core.Node
	delta   bool

	serviceNames  map[string]string // the name under which each cluster's endpoints are asked for
	inlined       map[string]bool   // clusters that carry their endpoints
	resourceTypes map[string]*typeState

	leavingClusters []string // clusters withdrawn that stay for now
	leavingSince    control.Micros
	awaitedClusters map[string]bool // clusters that came with that message and have no endpoints yet
	logged          map[string]bool // what was passed over, said once
	logLines        []string

	AcceptedResponses, RejectedResponses int // responses
}

// kind is what is known of one type of resource.
type typeState struct {
	version  string            // state of the world: last accepted
	nonce    string            // of the last response on this stream
	names    []string          // asked for, ascending; of clusters none: all
	versions map[string]string // delta: of each resource
}

// NewFollower gives a follower that tells members. ID names this router to the control plane.
func NewClient(m *membership.Model, id, zone string, delta bool, b Bounds) *Client {
	return &Client{members: m, bounds: b, delta: delta, node: &core.Node{Id: id, Cluster: "hollymast", Locality: &core.Locality{Zone: zone},
		UserAgentName: "hollymast"},
		serviceNames: map[string]string{}, inlined: map[string]bool{}, awaitedClusters: map[string]bool{}, logged: map[string]bool{},
		resourceTypes: map[string]*typeState{ClusterType: {versions: map[string]string{}}, EndpointType: {versions: map[string]string{}}}}
}

// Connected begins a stream and gives its first requests: for clusters, and, where some are known from an earlier stream, for
// their endpoints, each with what is known of them.
func (f *Client) Connected(now control.Micros) []proto.Message {
	f.members.SourceUp(now)
	for _, k := range f.resourceTypes {
		k.nonce = ""
	}
	out := []proto.Message{f.initialRequest(ClusterType)}
	if len(f.resourceTypes[EndpointType].names) > 0 {
		out = append(out, f.initialRequest(EndpointType))
	}
	return out
}

// Services gives the name under which each cluster's endpoints are asked for.
func (f *Client) ServiceNames() map[string]string { return maps.Clone(f.serviceNames) }

func (f *Client) initialRequest(url string) proto.Message {
	k := f.resourceTypes[url]
	if f.delta {
		return &discovery.DeltaDiscoveryRequest{Node: f.node, TypeUrl: url, ResourceNamesSubscribe: k.names, InitialResourceVersions: k.versions}
	}
	return &discovery.DiscoveryRequest{Node: f.node, TypeUrl: url, ResourceNames: k.names, VersionInfo: k.version}
}

// Broken ends a stream. All stands as it was last told.
func (f *Client) Disconnected(now control.Micros) { f.members.SourceDown(now) }

// Heard takes in a response and gives the requests that answer it: an ACK, or a NACK with the reason, then what is asked for
// besides. What is refused changes nothing.
func (f *Client) HandleResponse(now control.Micros, m proto.Message) []proto.Message {
	switch r := m.(type) {
	case *discovery.DiscoveryResponse:
		k := f.resourceTypes[r.TypeUrl]
		if k == nil {
			return nil // of a type that was never asked for
		}
		k.nonce = r.Nonce
		more, err := f.applyFull(now, r)
		if err == nil {
			k.version = r.VersionInfo
		}
		return append([]proto.Message{&discovery.DiscoveryRequest{TypeUrl: r.TypeUrl, VersionInfo: k.version, ResponseNonce: r.Nonce,
			ResourceNames: k.names, ErrorDetail: f.errorDetail(err)}}, more...)
	case *discovery.DeltaDiscoveryResponse:
		k := f.resourceTypes[r.TypeUrl]
		if k == nil {
			return nil
		}
		k.nonce = r.Nonce
		more, err := f.applyIncremental(now, r)
		return append([]proto.Message{&discovery.DeltaDiscoveryRequest{TypeUrl: r.TypeUrl, ResponseNonce: r.Nonce, ErrorDetail: f.errorDetail(err)}}, more...)
	}
	return nil
}

func (f *Client) errorDetail(err error) *status.Status {
	if err == nil {
		f.AcceptedResponses++
		return nil
	}
	f.RejectedResponses++
	f.logLines = append(f.logLines, "the control plane's update is refused: "+err.Error())
	return &status.Status{Code: int32(codes.InvalidArgument), Message: err.Error()}
}

// whole takes in a state of the world: of clusters all that there are; of endpoints those that it names, whole.
func (f *Client) applyFull(now control.Micros, r *discovery.DiscoveryResponse) ([]proto.Message, error) {
	if r.TypeUrl == ClusterType {
		clusters, err := f.parseClusters(r.Resources)
		if err != nil {
			return nil, err
		}
		var removed []string
		for name := range f.serviceNames {
			if !slices.ContainsFunc(clusters, func(c parsedCluster) bool { return c.name == name }) {
				removed = append(removed, name)
			}
		}
		return f.updateClusters(now, clusters, removed), nil
	}
	assignments, err := f.parseAssignments(r.Resources)
	if err != nil {
		return nil, err
	}
	return nil, f.updateAssignments(now, assignments)
}

// changes takes in what a delta says.
func (f *Client) applyIncremental(now control.Micros, r *discovery.DeltaDiscoveryResponse) ([]proto.Message, error) {
	state := f.resourceTypes[r.TypeUrl]
	resources := make([]*anypb.Any, len(r.Resources))
	for i, x := range r.Resources {
		resources[i] = x.Resource
	}
	var more []proto.Message
	if r.TypeUrl == ClusterType {
		clusters, err := f.parseClusters(resources)
		if err != nil {
			return nil, err
		}
		if n := len(f.serviceNames) + len(clusters); n > 2*f.bounds.Clusters {
			return nil, fmt.Errorf("%d clusters, over the bound of %d", n, f.bounds.Clusters)
		}
		var removed []string
		for _, name := range r.RemovedResources {
			if _, there := f.serviceNames[name]; there {
				removed = append(removed, name)
			}
		}
		more = f.updateClusters(now, clusters, removed)
	} else {
		assignments, err := f.parseAssignments(resources)
		if err != nil {
			return nil, err
		}
		for _, name := range r.RemovedResources {
			assignments = append(assignments, assignment{name: name})
		}
		if err := f.updateAssignments(now, assignments); err != nil {
			return nil, err
		}
	}
	for _, x := range r.Resources {
		state.versions[x.Name] = x.Version
	}
	for _, name := range r.RemovedResources {
		delete(state.versions, name)
	}
	return more, nil
}

// Tick ends what waits for too long, and gives when it must be called again; 0: when something is heard.
func (f *Client) Tick(now control.Micros) (next control.Micros) {
	if len(f.leavingClusters) > 0 && now >= f.leavingSince+warmingTime {
		f.releaseClusters(now)
	}
	next = f.members.Tick(now)
	if len(f.leavingClusters) > 0 && (next == 0 || f.leavingSince+warmingTime < next) {
		next = f.leavingSince + warmingTime
	}
	return next
}

// Notes gives what is to be told operators since the last call, the members' own included.
func (f *Client) TakeLogLines() []string {
	notes := append(f.logLines, f.members.TakeLogLines()...)
	f.logLines = nil
	return notes
}

// passOver notes, once for each, what a resource asks for that is not done here.
func (f *Client) logOnce(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	const most = 1000 // distinct notes: then the control plane changes names each time
	if !f.logged[text] && len(f.logged) < most {
		f.logged[text] = true
		f.logLines = append(f.logLines, text)
	}
}
