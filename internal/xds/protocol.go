package xds

import (
	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	"google.golang.org/protobuf/proto"

	"hollymast/control"
)

// Protocol is the client side of a protocol. It does no I/O and reads no clock. Transport calls it from one goroutine: Connected at
// the start of a stream, HandleResponse for each message, Disconnected at the end of the stream, and Tick at the times that Tick
// returned.
type Protocol interface {
	// Connected returns the first requests of a new stream.
	Connected(now control.Micros) []proto.Message
	// HandleResponse returns the requests that answer a message.
	HandleResponse(now control.Micros, m proto.Message) []proto.Message
	// Disconnected records the end of the stream.
	Disconnected(now control.Micros)
	// Tick applies time-dependent changes and returns when it must be called again; 0: after the next message.
	Tick(now control.Micros) (next control.Micros)
	// TakeLogLines returns the lines to log that were added since the last call.
	TakeLogLines() []string
}

// timedSender is a Protocol that also sends requests of its own accord, at the times that Tick returns.
type timedSender interface {
	TimedRequests(now control.Micros) []proto.Message
	TimedRequestsSent() // called once all of them were passed to the stream
}

// Variant is a variant of the discovery protocol.
type Variant uint8

// The variants.
const (
	StateOfTheWorld Variant = iota
	Incremental             // delta
)

// clientName is the node cluster and user agent name of every router.
const clientName = "hollymast"

// newNode returns the node message that identifies a router to a control plane.
func newNode(id, zone string) *core.Node {
	return &core.Node{Id: id, Cluster: clientName, UserAgentName: clientName, Locality: &core.Locality{Zone: zone}}
}
