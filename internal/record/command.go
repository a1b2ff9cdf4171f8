package record

import (
	"fmt"

	"hollymast/control"
)

// What a Deed does.
const (
	CommandForward uint8 = iota + 1
	CommandReject
	CommandFail
	CommandCancelAttempt
	CommandLoad
	CommandSubscribe
	CommandLog
	CommandSetTimer
)

var commandNames = [...]string{"nothing", "send", "push back", "kill", "call off", "order", "subscribe", "note", "alarm"}

// Deed is one thing asked of the outlet.
type Command struct {
	Kind     uint8              `cbor:"1,keyasint"`
	Request  control.RequestID  `cbor:"2,keyasint,omitempty"`
	Attempt  control.AttemptID  `cbor:"3,keyasint,omitempty"`
	Server   control.ServerID   `cbor:"4,keyasint,omitempty"`
	Time     control.Micros     `cbor:"5,keyasint,omitempty"` // allowed, to stay away, or of the alarm
	Function control.FunctionID `cbor:"6,keyasint,omitempty"`
	Replicas int                `cbor:"7,keyasint,omitempty"`
	Text     string             `cbor:"8,keyasint,omitempty"`
}

// String tells a deed in plain words.
func (d Command) String() string {
	word := commandNames[0]
	if int(d.Kind) < len(commandNames) {
		word = commandNames[d.Kind]
	}
	switch d.Kind {
	case CommandForward:
		return fmt.Sprintf("send job %d, execution %d, to server %x for at most %d us", d.Request, d.Attempt, d.Server, d.Time)
	case CommandReject:
		return fmt.Sprintf("push back job %d for %d us", d.Request, d.Time)
	case CommandFail:
		return fmt.Sprintf("kill job %d", d.Request)
	case CommandCancelAttempt:
		return fmt.Sprintf("call off execution %d of job %d", d.Attempt, d.Request)
	case CommandLoad:
		return fmt.Sprintf("order server %x to hold %d copies of function %x for job %d", d.Server, d.Replicas, d.Function, d.Request)
	case CommandLog:
		return "note: " + d.Text
	case CommandSetTimer:
		return fmt.Sprintf("wake at %d", d.Time)
	}
	return word
}
