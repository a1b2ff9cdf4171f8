package xds

import (
	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	"google.golang.org/protobuf/proto"

	"hollymast/control"
)

// Protocol is the client's side of one protocol, free of I/O and clocks. Transport calls it from one goroutine: Connected at
// the start of a stream, HandleResponse for each message, Disconnected at its end, Tick at the times that it asks for.
type Protocol interface {
	// Connected returns the first requests of a new stream.
	Connected(now control.Micros) []proto.Message
	// HandleResponse returns the requests that answer a message.
	HandleResponse(now control.Micros, m proto.Message) []proto.Message
	Disconnected(now control.Micros)
	// Tick applies what is due and returns when it must be called again; 0: after the next message.
	Tick(now control.Micros) (next control.Micros)
	// TakeLogLines returns the lines to log since the last call.
	TakeLogLines() []string
}

// timedSender is a protocol that also sends requests at times of its own, which Tick returns.
type timedSender interface {
	TimedRequests(now control.Micros) []proto.Message
	TimedRequestsSent() // all of them were handed to the stream
}

// Variant is a variant of the discovery protocol.
type Variant uint8

// The variants.
const (
	StateOfTheWorld Variant = iota
	Incremental             // delta
)

// clientName is the cluster and user agent under which every router introduces itself.
const clientName = "hollymast"

// newNode describes a router to a control plane.
func newNode(id, zone string) *core.Node {
	return &core.Node{Id: id, Cluster: clientName, UserAgentName: clientName, Locality: &core.Locality{Zone: zone}}
}
