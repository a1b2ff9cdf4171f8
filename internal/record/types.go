// Package record writes what a core heard and decided to segment files, and reads them back. A segment begins with a
// header and a checkpoint of the whole state, so a replay can begin at any of them.
//
// A segment is the magic bytes, then frames: length and CRC-32C of the payload (four bytes each, big-endian), then the
// payload, CBOR compressed with zstd. The first frame is a Header, the second a core.Snapshot, the others are Turns.
// No body is ever recorded, and functions and tenants only by their ids.
package record

import (
	"hollymast/control"
	"hollymast/internal/core"
)

// Header begins a segment.
type Header struct {
	Version     int            `cbor:"Version"`
	Build       string         `cbor:"Build"` // of the program that wrote it
	Router      int            `cbor:"Router"`
	Incarnation string         `cbor:"Life"`    // tells one run of a router from its others
	Segment     int            `cbor:"Segment"` // within the life, from 0
	FirstStep   uint64         `cbor:"Turn"`    // the first turn in it
	Clock       control.Micros `cbor:"Clock"`   // the router's time at the checkpoint
	LostSteps   uint64         `cbor:"Gap"`     // turns lost before it
}

// Turn is one turn: what was heard, in order, and what was then asked of the outlet, in order.
type Step struct {
	_        struct{} `cbor:",toarray"`
	Clock    control.Micros
	Events   []Event
	Commands []Command
}

// News is one thing heard; one of its parts is set.
type Event struct {
	Added      *control.Request  `cbor:"1,keyasint,omitempty"`
	Outcome    *control.Outcome  `cbor:"2,keyasint,omitempty"`
	RequestID  control.RequestID `cbor:"3,keyasint,omitempty"` // of Answered and Left
	Endpoints  *EndpointUpdate   `cbor:"4,keyasint,omitempty"`
	Cancelled  bool              `cbor:"5,keyasint,omitempty"`
	LoadResult *LoadResult       `cbor:"6,keyasint,omitempty"`
	ClientTag  uint64            `cbor:"7,keyasint,omitempty"` // of Arrived: Tag of its client's id for it; 0: none
}

// Listed is a list of servers as heard.
type EndpointUpdate struct {
	Kind      control.UpdateKind `cbor:"Kind"`
	Endpoints []control.Endpoint `cbor:"List"`
}

// Loaded is an answer to an order.
type LoadResult struct {
	Server   control.ServerID   `cbor:"Server"`
	Function control.FunctionID `cbor:"Function"`
	Result   control.Result     `cbor:"Result"`
	Duration control.Micros     `cbor:"Took"`
	Replicas int                `cbor:"Copies"`
}

var _ core.Recorder = (*Recorder)(nil)
