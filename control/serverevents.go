package control

import (
	"fmt"
	"strings"
)

// ServerEvent is a change in the health of a server that an operator should hear of.
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
	// AnswersOverdue means that the server owes answers and is silent.
	AnswersOverdue EjectionCause = iota
	// ConnectionsFail means that connections to the server break or are refused.
	ConnectionsFail
)

var causeTexts = [...]string{AnswersOverdue: "owes answers", ConnectionsFail: "connections fail"}

const (
	ejectedText    = "is suspect: "
	readmittedText = "answers again"
)

// String returns the form in which recordings, snapshots and the simulator's wire keep an event. Earlier recordings have it
// too, so it doesn't change.
func (e ServerEvent) String() string {
	if e.Kind == ServerReadmitted {
		return fmt.Sprintf("server %x %s", e.Server, readmittedText)
	}
	return fmt.Sprintf("server %x %s%s", e.Server, ejectedText, causeTexts[e.Cause])
}

// ParseServerEvent reads what ServerEvent.String wrote.
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

// LogMessage returns the message for a service's log.
func (e ServerEvent) LogMessage() string {
	if e.Kind == ServerReadmitted {
		return "server readmitted: it answers again"
	}
	return "server ejected: " + [...]string{
		AnswersOverdue:  "its answers are overdue",
		ConnectionsFail: "connections to it fail",
	}[e.Cause]
}
