// Package xds follows a control plane by Envoy's discovery protocol: aggregated discovery (ADS) of clusters (CDS) and
// endpoints (EDS), state of the world or delta. Follower is the protocol itself, free of I/O and clocks; Follow carries its
// messages over gRPC.
package xds

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	cluster "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
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

// warming is for how long clusters that were withdrawn stay while those that came with the same message have no endpoints
// yet, so that servers that move between clusters are never missing (make before break). It must leave most of the time
// within which nothing new may go to a withdrawn server.
const warmingTime = control.Micros(200_000)

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
	f.members.Source(now, true)
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
func (f *Client) Disconnected(now control.Micros) { f.members.Source(now, false) }

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

// known is a cluster as read.
type parsedCluster struct {
	name, service string
	inline        *assignment
}

// clustersAre takes in clusters that are there, new or not, and those that are gone, and asks for endpoints accordingly.
func (f *Client) updateClusters(now control.Micros, clusters []parsedCluster, removed []string) []proto.Message {
	slices.Sort(removed)
	for _, c := range clusters {
		_, before := f.serviceNames[c.name]
		f.serviceNames[c.name] = c.service
		f.members.AddCluster(now, c.name)
		if f.inlined[c.name] = c.inline != nil; c.inline != nil {
			f.members.SetOverprovisioning(c.name, c.inline.overprovisioning)
			f.members.SetEndpoints(now, c.name, c.inline.endpoints)
		} else if !before {
			f.awaitedClusters[c.name] = true
		}
	}
	for _, name := range removed {
		delete(f.serviceNames, name)
		delete(f.inlined, name)
		delete(f.awaitedClusters, name)
	}
	if len(f.leavingClusters) == 0 {
		f.leavingSince = now
	}
	f.leavingClusters = append(f.leavingClusters, removed...)
	if len(f.awaitedClusters) == 0 {
		f.releaseClusters(now)
	}
	var names []string
	for name, service := range f.serviceNames {
		if !f.inlined[name] {
			names = append(names, service)
		}
	}
	slices.Sort(names)
	return f.subscribeEndpoints(slices.Compact(names))
}

// ask asks for other endpoints than before, if they are others.
func (f *Client) subscribeEndpoints(names []string) []proto.Message {
	state := f.resourceTypes[EndpointType]
	if slices.Equal(names, state.names) {
		return nil
	}
	old := state.names
	state.names = names
	if !f.delta {
		return []proto.Message{&discovery.DiscoveryRequest{Node: f.node, TypeUrl: EndpointType, ResourceNames: names, VersionInfo: state.version, ResponseNonce: state.nonce}}
	}
	r := &discovery.DeltaDiscoveryRequest{Node: f.node, TypeUrl: EndpointType}
	for _, name := range names {
		if _, found := slices.BinarySearch(old, name); !found {
			r.ResourceNamesSubscribe = append(r.ResourceNamesSubscribe, name)
		}
	}
	for _, name := range old {
		if _, found := slices.BinarySearch(names, name); !found {
			r.ResourceNamesUnsubscribe = append(r.ResourceNamesUnsubscribe, name)
			delete(state.versions, name)
		}
	}
	return []proto.Message{r}
}

// assign takes in the endpoints of services; those of one that no cluster names are kept in case it comes.
func (f *Client) updateAssignments(now control.Micros, assignments []assignment) error {
	byService := make(map[string][]string, len(f.serviceNames))
	for name, service := range f.serviceNames {
		byService[service] = append(byService[service], name)
	}
	var rejected error
	f.members.Batch(now, func() { rejected = f.applyAssignments(now, assignments, byService) })
	if rejected != nil {
		return rejected
	}
	if len(f.awaitedClusters) == 0 {
		f.releaseClusters(now)
	}
	return nil
}

func (f *Client) applyAssignments(now control.Micros, assignments []assignment, byService map[string][]string) error {
	for _, a := range assignments {
		names := byService[a.name]
		slices.Sort(names)
		if len(names) == 0 {
			if slices.Contains(f.leavingClusters, a.name) {
				continue // it goes as a whole, once what comes in its place is there
			}
			names = []string{a.name}
		}
		for _, name := range names {
			if f.inlined[name] {
				continue
			}
			f.members.SetOverprovisioning(name, a.overprovisioning)
			if err := f.members.SetEndpoints(now, name, a.endpoints); err != nil {
				return err
			}
			delete(f.awaitedClusters, name)
		}
	}
	return nil
}

// release lets the clusters go that were withdrawn.
func (f *Client) releaseClusters(now control.Micros) {
	if len(f.leavingClusters) == 0 {
		return
	}
	f.members.Batch(now, func() {
		for _, name := range f.leavingClusters {
			if _, back := f.serviceNames[name]; !back {
				f.members.RemoveCluster(now, name)
			}
		}
	})
	f.leavingClusters = nil
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

func (f *Client) parseClusters(resources []*anypb.Any) ([]parsedCluster, error) {
	if len(resources) > f.bounds.Clusters {
		return nil, fmt.Errorf("%d clusters, over the bound of %d", len(resources), f.bounds.Clusters)
	}
	clusters := make([]parsedCluster, 0, len(resources))
	seen := make(map[string]bool, len(resources))
	for _, any := range resources {
		c := &cluster.Cluster{}
		if err := any.UnmarshalTo(c); err != nil {
			return nil, fmt.Errorf("a cluster can't be read: %w", err)
		}
		if c.Name == "" || seen[c.Name] {
			return nil, fmt.Errorf("cluster %q: no name, or named twice", c.Name)
		}
		seen[c.Name] = true
		parsed := parsedCluster{name: c.Name, service: cmp.Or(c.GetEdsClusterConfig().GetServiceName(), c.Name)}
		switch c.GetType() {
		case cluster.Cluster_EDS:
			if _, ads := c.GetEdsClusterConfig().GetEdsConfig().GetConfigSourceSpecifier().(*core.ConfigSource_Ads); !ads &&
				c.GetEdsClusterConfig().GetEdsConfig() != nil {
				f.logOnce("cluster %s: its endpoints are asked for on the same stream, whatever source it names", c.Name)
			}
		case cluster.Cluster_STATIC:
			a, err := f.parseAssignment(c.GetLoadAssignment())
			if err != nil {
				return nil, fmt.Errorf("cluster %s: %w", c.Name, err)
			}
			parsed.inline = &a
		default:
			f.logOnce("cluster %s: of type %s, which is not followed", c.Name, c.GetType())
			continue
		}
		if c.GetLbPolicy() != cluster.Cluster_ROUND_ROBIN || c.GetLoadBalancingPolicy() != nil {
			f.logOnce("cluster %s: its balancing policy is passed over; jobs go where copies are loaded", c.Name)
		}
		clusters = append(clusters, parsed)
	}
	return clusters, nil
}

// assignment is the endpoints of one service.
type assignment struct {
	name             string
	overprovisioning float64 // 0: not told
	endpoints        []membership.Endpoint
}

func (f *Client) parseAssignments(resources []*anypb.Any) ([]assignment, error) {
	assignments := make([]assignment, 0, len(resources))
	seen := make(map[string]bool, len(resources))
	for _, any := range resources {
		a := &endpoint.ClusterLoadAssignment{}
		if err := any.UnmarshalTo(a); err != nil {
			return nil, fmt.Errorf("an assignment can't be read: %w", err)
		}
		if a.ClusterName == "" || seen[a.ClusterName] {
			return nil, fmt.Errorf("assignment %q: no name, or named twice", a.ClusterName)
		}
		seen[a.ClusterName] = true
		parsed, err := f.parseAssignment(a)
		if err != nil {
			return nil, fmt.Errorf("assignment %s: %w", a.ClusterName, err)
		}
		assignments = append(assignments, parsed)
	}
	return assignments, nil
}

var healthOf = map[core.HealthStatus]membership.Health{core.HealthStatus_UNKNOWN: membership.Unknown, core.HealthStatus_HEALTHY: membership.Healthy,
	core.HealthStatus_UNHEALTHY: membership.Unhealthy, core.HealthStatus_DRAINING: membership.Draining,
	core.HealthStatus_TIMEOUT: membership.Timeout, core.HealthStatus_DEGRADED: membership.Degraded}

func (f *Client) parseAssignment(a *endpoint.ClusterLoadAssignment) (out assignment, err error) {
	out.name = a.GetClusterName()
	if factor := a.GetPolicy().GetOverprovisioningFactor(); factor != nil {
		if factor.Value < 100 {
			return out, errors.New("an overprovisioning factor below 100 %")
		}
		out.overprovisioning = float64(factor.Value) / 100
	}
	for _, d := range a.GetPolicy().GetDropOverloads() {
		if d.GetDropPercentage().GetNumerator() > 0 {
			f.logOnce("assignment %s: drop_overloads %q is passed over; jobs are pushed back where they can't be in time", out.name, d.GetCategory())
		}
	}
	for _, l := range a.GetEndpoints() {
		if len(out.endpoints)+len(l.GetLbEndpoints()) > f.bounds.Endpoints {
			return out, fmt.Errorf("over %d endpoints", f.bounds.Endpoints)
		}
		for _, e := range l.GetLbEndpoints() {
			s := e.GetEndpoint().GetAddress().GetSocketAddress()
			if s == nil || s.GetAddress() == "" || s.GetPortValue() == 0 || s.GetPortValue() > 65535 {
				return out, errors.New("an endpoint has no address with a port")
			}
			health, known := healthOf[e.GetHealthStatus()]
			if !known {
				f.logOnce("assignment %s: health status %d is not known and counts as unknown", out.name, e.GetHealthStatus())
			}
			host := s.GetAddress()
			if strings.Contains(host, ":") {
				host = "[" + host + "]"
			}
			startedAt, err := parseStartedAt(e.GetMetadata())
			if err != nil {
				return out, err
			}
			out.endpoints = append(out.endpoints, membership.Endpoint{Address: fmt.Sprintf("%s:%d", host, s.GetPortValue()), Health: health,
				Weight: e.GetLoadBalancingWeight().GetValue(), Priority: l.GetPriority(), Zone: l.GetLocality().GetZone(),
				Cell: l.GetLocality().GetSubZone(), StartedAt: startedAt})
		}
	}
	return out, nil
}
