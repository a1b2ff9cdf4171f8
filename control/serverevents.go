package control

import (
	"fmt"
	"strings"
)

// ServerEvent is a change in the health of a server that operators should know about.
type ServerEvent struct {
	Server ServerID
	Kind   ServerEventKind
	Cause  EjectionCause // of ServerEjected
}

// ServerEventKind says what a ServerEvent reports.
type ServerEventKind uint8

// The kinds of ServerEvent.
const (
	ServerEjected ServerEventKind = iota
	ServerReadmitted
)

// EjectionCause says why a server was ejected.
type EjectionCause uint8

// The causes of an ejection.
const (
	// AnswersOverdue means that the server has not answered its attempts in time.
	AnswersOverdue EjectionCause = iota
	// ConnectionsFail means that connections to the server break or are refused.
	ConnectionsFail
)

var causeTexts = [...]string{AnswersOverdue: "owes answers", ConnectionsFail: "connections fail"}

const (
	ejectedText    = "is suspect: "
	readmittedText = "answers again"
)

// String returns the stored form of the event, for recordings, snapshots and the simulator's protocol. It must stay as
// it is, because existing recordings contain it.
func (e ServerEvent) String() string {
	if e.Kind == ServerReadmitted {
		return fmt.Sprintf("server %x %s", e.Server, readmittedText)
	}
	return fmt.Sprintf("server %x %s%s", e.Server, ejectedText, causeTexts[e.Cause])
}

// ParseServerEvent parses the result of ServerEvent.String.
func ParseServerEvent(text string) (ServerEvent, error) {
	var e ServerEvent
	var id uint64
	if _, err := fmt.Sscanf(text, "server %x ", &id); err != nil {
		return e, fmt.Errorf("server event %q: %w", text, err)
	}
	e.Server = ServerID(id)
	_, rest, _ := strings.Cut(strings.TrimPrefix(text, "server "), " ")
	if rest == readmittedText {
		e.Kind = ServerReadmitted
		return e, nil
	}
	for cause, causeText := range causeTexts {
		if rest == ejectedText+causeText {
			e.Cause = EjectionCause(cause)
			return e, nil
		}
	}
	return e, fmt.Errorf("server event %q: unknown", text)
}

// LogMessage returns the event's message for a service's log.
func (e ServerEvent) LogMessage() string {
	if e.Kind == ServerReadmitted {
		return "server readmitted: it answers again"
	}
	return "server ejected: " + [...]string{
		AnswersOverdue:  "its answers are overdue",
		ConnectionsFail: "connections to it fail",
	}[e.Cause]
}
