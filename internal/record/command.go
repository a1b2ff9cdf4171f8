package record

import (
	"fmt"

	"hollymast/control"
)

// CommandKind is the kind of a Command.
type CommandKind uint8

// The kinds of commands. Their numbers are stored and must not change.
const (
	CommandForward CommandKind = iota + 1
	CommandReject
	CommandFail
	CommandCancelAttempt
	CommandLoad
	CommandSubscribe
	CommandLog
	CommandSetTimer
)

// commandNames are the names that tools print, by kind.
var commandNames = [...]string{"nothing", "send", "push back", "kill", "call off", "order", "subscribe", "note", "alarm"}

// Command is a command that the core gave to its executor.
type Command struct {
	Kind     CommandKind        `cbor:"1,keyasint"`
	Request  control.RequestID  `cbor:"2,keyasint,omitempty"`
	Attempt  control.AttemptID  `cbor:"3,keyasint,omitempty"`
	Server   control.ServerID   `cbor:"4,keyasint,omitempty"`
	Time     control.Micros     `cbor:"5,keyasint,omitempty"` // timeout of an attempt, retry-after of a rejection, or when a timer fires
	Function control.FunctionID `cbor:"6,keyasint,omitempty"`
	Replicas int                `cbor:"7,keyasint,omitempty"`
	Text     string             `cbor:"8,keyasint,omitempty"`
}

// String describes a command as tools print it. The texts must not change, since scripts compare them.
func (c Command) String() string {
	switch c.Kind {
	case CommandForward:
		return fmt.Sprintf("send job %d, execution %d, to server %x for at most %d us", c.Request, c.Attempt, c.Server, c.Time)
	case CommandReject:
		return fmt.Sprintf("push back job %d for %d us", c.Request, c.Time)
	case CommandFail:
		return fmt.Sprintf("kill job %d", c.Request)
	case CommandCancelAttempt:
		return fmt.Sprintf("call off execution %d of job %d", c.Attempt, c.Request)
	case CommandLoad:
		return fmt.Sprintf("order server %x to hold %d copies of function %x for job %d", c.Server, c.Replicas, c.Function, c.Request)
	case CommandLog:
		return "note: " + c.Text
	case CommandSetTimer:
		return fmt.Sprintf("wake at %d", c.Time)
	}
	if int(c.Kind) < len(commandNames) {
		return commandNames[c.Kind]
	}
	return commandNames[0]
}
