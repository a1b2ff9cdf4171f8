package xds

import (
	"hollymast/control"

	"google.golang.org/protobuf/proto"
)

// Protocol is the client's side of one protocol, free of I/O.
type Protocol interface {
	Connected(now control.Micros) []proto.Message
	HandleResponse(now control.Micros, m proto.Message) []proto.Message
	Disconnected(now control.Micros)
	Tick(now control.Micros) (next control.Micros)
	TakeLogLines() []string
}

// speaker is a protocol that has something to say of itself, at the time that Tick gives.
type timedSender interface {
	TimedRequests(now control.Micros) []proto.Message
	TimedRequestsSent() // all of it was handed to the stream
}
