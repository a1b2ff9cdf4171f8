package xds

import (
	"fmt"
	"maps"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"

	"hollymast/control"
	"hollymast/internal/membership"
)

// The type URLs of the resources.
const (
	ClusterType  = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	EndpointType = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
)

// Bounds limit what is accepted from a control plane; more is rejected with a NACK.
type Bounds struct {
	Clusters  int
	Endpoints int // of one cluster
}

// DefaultBounds are far beyond a fleet of ten thousand servers.
var DefaultBounds = Bounds{Clusters: 10_000, Endpoints: 100_000}

// Client is the client's side of aggregated discovery; it implements Protocol.
type Client struct {
	members *membership.Model
	bounds  Bounds
	node    *core.Node
	variant Variant

	serviceNames  map[string]string     // the name under which each cluster's endpoints are subscribed to
	inlined       map[string]bool       // clusters that carry their endpoints
	resourceTypes map[string]*typeState // by type URL

	leavingClusters []string // withdrawn, but kept while awaitedClusters have no endpoints
	leavingSince    control.Micros
	awaitedClusters map[string]bool // new clusters that have no endpoints yet

	logged   map[string]bool // by logOnce
	logLines []string

	AcceptedResponses, RejectedResponses int
}

// typeState is the state of the protocol for one type of resource.
type typeState struct {
	version  string            // state of the world: the last accepted
	nonce    string            // of the last response on this stream
	names    []string          // subscribed to, ascending; of clusters none: all
	versions map[string]string // incremental: of each resource
}

// NewClient returns a client that keeps members up to date. ID and zone introduce this router to the control plane. The variant
// has to be the Transport's.
func NewClient(members *membership.Model, id, zone string, variant Variant, bounds Bounds) *Client {
	return &Client{
		members:         members,
		bounds:          bounds,
		node:            newNode(id, zone),
		variant:         variant,
		serviceNames:    map[string]string{},
		inlined:         map[string]bool{},
		awaitedClusters: map[string]bool{},
		logged:          map[string]bool{},
		resourceTypes: map[string]*typeState{
			ClusterType:  {versions: map[string]string{}},
			EndpointType: {versions: map[string]string{}},
		},
	}
}

// Connected starts a stream and returns its first requests: for clusters and, where some are known from an earlier stream,
// for their endpoints, each with the versions known.
func (c *Client) Connected(now control.Micros) []proto.Message {
	c.members.SourceUp(now)
	for _, state := range c.resourceTypes {
		state.nonce = ""
	}
	out := []proto.Message{c.initialRequest(ClusterType)}
	if len(c.resourceTypes[EndpointType].names) > 0 {
		out = append(out, c.initialRequest(EndpointType))
	}
	return out
}

func (c *Client) initialRequest(url string) proto.Message {
	state := c.resourceTypes[url]
	if c.variant == Incremental {
		return &discovery.DeltaDiscoveryRequest{Node: c.node, TypeUrl: url, ResourceNamesSubscribe: state.names, InitialResourceVersions: state.versions}
	}
	return &discovery.DiscoveryRequest{Node: c.node, TypeUrl: url, ResourceNames: state.names, VersionInfo: state.version}
}

// Disconnected ends a stream. The endpoint list stays as it is.
func (c *Client) Disconnected(now control.Micros) { c.members.SourceDown(now) }

// ServiceNames returns the name under which each cluster's endpoints are subscribed to, by cluster.
func (c *Client) ServiceNames() map[string]string { return maps.Clone(c.serviceNames) }

// Tick applies what is due, here and in the members, and returns when it must be called again; 0: after the next message.
func (c *Client) Tick(now control.Micros) (next control.Micros) {
	if len(c.leavingClusters) > 0 && now >= c.leavingSince+warmingTime {
		c.releaseClusters(now)
	}
	next = c.members.Tick(now)
	if len(c.leavingClusters) > 0 && (next == 0 || c.leavingSince+warmingTime < next) {
		next = c.leavingSince + warmingTime
	}
	return next
}

// TakeLogLines returns the lines to log since the last call, the members' included.
func (c *Client) TakeLogLines() []string {
	lines := append(c.logLines, c.members.TakeLogLines()...)
	c.logLines = nil
	return lines
}

// maxLoggedOnce bounds the distinct lines of logOnce, against a control plane that changes names each time.
const maxLoggedOnce = 1000

// logOnce logs, once for each text, what a resource asks for that is not supported.
func (c *Client) logOnce(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if !c.logged[text] && len(c.logged) < maxLoggedOnce {
		c.logged[text] = true
		c.logLines = append(c.logLines, text)
	}
}
