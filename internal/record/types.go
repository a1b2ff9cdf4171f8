package record

import (
	"hollymast/control"
)

// Header begins a segment.
type Header struct {
	Version     int            `cbor:"Version"`
	Build       string         `cbor:"Build"` // of the program that wrote it
	Router      int            `cbor:"Router"`
	Incarnation string         `cbor:"Life"`    // identifies one run of a router
	Segment     int            `cbor:"Segment"` // number within the incarnation, from 0
	FirstStep   uint64         `cbor:"Turn"`    // number of the first step in it
	Clock       control.Micros `cbor:"Clock"`   // the router's time at the checkpoint
	LostSteps   uint64         `cbor:"Gap"`     // steps lost before it
}

// Step is a step of the event loop: its events, and then the commands that the core gave, each in order.
type Step struct {
	_        struct{} `cbor:",toarray"`
	Clock    control.Micros
	Events   []Event
	Commands []Command
}

// Event is an event that the core handled. One of its parts is set.
type Event struct {
	Added        *control.Request  `cbor:"1,keyasint,omitempty"`
	Outcome      *control.Outcome  `cbor:"2,keyasint,omitempty"`
	RequestID    control.RequestID `cbor:"3,keyasint,omitempty"` // of Outcome and Cancelled
	Endpoints    *EndpointUpdate   `cbor:"4,keyasint,omitempty"`
	Cancelled    bool              `cbor:"5,keyasint,omitempty"`
	LoadResult   *LoadResult       `cbor:"6,keyasint,omitempty"`
	ClientIDHash uint64            `cbor:"7,keyasint,omitempty"` // of Added: Tag of the client's own id for the request; 0: none
}

// EndpointUpdate is an update of the endpoint list.
type EndpointUpdate struct {
	Kind      control.UpdateKind `cbor:"Kind"`
	Endpoints []control.Endpoint `cbor:"List"`
}

// LoadResult is a server's answer to a load command.
type LoadResult struct {
	Server   control.ServerID   `cbor:"Server"`
	Function control.FunctionID `cbor:"Function"`
	Result   control.Result     `cbor:"Result"`
	Duration control.Micros     `cbor:"Took"`
	Replicas int                `cbor:"Copies"`
}
