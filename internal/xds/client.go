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

// Bounds limit what is accepted from a control plane. A response that exceeds them is rejected with a NACK.
type Bounds struct {
	Clusters  int
	Endpoints int // per cluster
}

// DefaultBounds are far beyond a fleet of ten thousand servers.
var DefaultBounds = Bounds{Clusters: 10_000, Endpoints: 100_000}

// Client is the client side of aggregated discovery (ADS). It implements Protocol.
type Client struct {
	members *membership.Model
	bounds  Bounds
	node    *core.Node
	variant Variant

	serviceNames  map[string]string     // by cluster: the name under which its endpoints are subscribed to
	inlined       map[string]bool       // clusters that contain their endpoints (type STATIC)
	resourceTypes map[string]*typeState // by type URL

	withdrawnClusters []string // removed by the control plane, but kept until warmingClusters is empty or warmingTime has passed
	withdrawnSince    control.Micros
	warmingClusters   map[string]bool // new clusters without endpoints so far

	logged   map[string]bool // lines that logOnce has logged
	logLines []string

	AcceptedResponses, RejectedResponses int // numbers of responses answered with an ACK and with a NACK
}

// typeState is the subscription state of one resource type.
type typeState struct {
	version  string            // state of the world: the last accepted version
	nonce    string            // of the last response on the current stream
	names    []string          // subscribed resources, in ascending order; empty for clusters: all of them
	versions map[string]string // incremental: version of each resource
}

// NewClient returns a client that keeps members up to date. ID and zone identify this router to the control plane. The variant
// must be that of the Transport.
func NewClient(members *membership.Model, id, zone string, variant Variant, bounds Bounds) *Client {
	return &Client{
		members:         members,
		bounds:          bounds,
		node:            newNode(id, zone),
		variant:         variant,
		serviceNames:    map[string]string{},
		inlined:         map[string]bool{},
		warmingClusters: map[string]bool{},
		logged:          map[string]bool{},
		resourceTypes: map[string]*typeState{
			ClusterType:  {versions: map[string]string{}},
			EndpointType: {versions: map[string]string{}},
		},
	}
}

// Connected starts a stream and returns its first requests: one for clusters and, if clusters are known from an earlier stream,
// one for their endpoints. Each request contains the known versions.
func (c *Client) Connected(now control.Micros) []proto.Message {
	c.members.SourceUp(now)
	for _, state := range c.resourceTypes {
		state.nonce = ""
	}
	requests := []proto.Message{c.initialRequest(ClusterType)}
	if len(c.resourceTypes[EndpointType].names) > 0 {
		requests = append(requests, c.initialRequest(EndpointType))
	}
	return requests
}

func (c *Client) initialRequest(url string) proto.Message {
	state := c.resourceTypes[url]
	if c.variant == Incremental {
		return &discovery.DeltaDiscoveryRequest{Node: c.node, TypeUrl: url, ResourceNamesSubscribe: state.names, InitialResourceVersions: state.versions}
	}
	return &discovery.DiscoveryRequest{Node: c.node, TypeUrl: url, ResourceNames: state.names, VersionInfo: state.version}
}

// Disconnected records the end of a stream. The endpoint list stays as it is.
func (c *Client) Disconnected(now control.Micros) { c.members.SourceDown(now) }

// ServiceNames returns, by cluster, the name under which the cluster's endpoints are subscribed to.
func (c *Client) ServiceNames() map[string]string { return maps.Clone(c.serviceNames) }

// Tick applies time-dependent changes, also those of the members, and returns when it must be called again; 0: after the next
// message.
func (c *Client) Tick(now control.Micros) (next control.Micros) {
	if len(c.withdrawnClusters) > 0 && now >= c.withdrawnSince+warmingTime {
		c.removeWithdrawnClusters(now)
	}
	next = c.members.Tick(now)
	if len(c.withdrawnClusters) > 0 && (next == 0 || c.withdrawnSince+warmingTime < next) {
		next = c.withdrawnSince + warmingTime
	}
	return next
}

// TakeLogLines returns the lines to log that were added since the last call, including those of the members.
func (c *Client) TakeLogLines() []string {
	lines := append(c.logLines, c.members.TakeLogLines()...)
	c.logLines = nil
	return lines
}

// maxLoggedOnce limits the distinct lines that logOnce keeps, in case a control plane sends new names all the time.
const maxLoggedOnce = 1000

// logOnce logs an unsupported feature that a resource uses. Each distinct text is logged only once.
func (c *Client) logOnce(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if !c.logged[text] && len(c.logged) < maxLoggedOnce {
		c.logged[text] = true
		c.logLines = append(c.logLines, text)
	}
}
