package gateway

import (
	"hollymast/control"
	"hollymast/internal/record"
)

// decision is one decision of the core in the response of /router/state.
type decision struct {
	At   control.Micros `json:"At"`
	Text string         `json:"Decision"`
}

// decisionLog is a ring buffer of the latest decisions, enough to fill a few screens.
type decisionLog struct {
	entries [256]struct {
		at      control.Micros
		command record.Command
	}
	count int // decisions added so far
}

// add adds a decision, overwriting the oldest one if the buffer is full.
func (l *decisionLog) add(at control.Micros, command record.Command) {
	entry := &l.entries[l.count%len(l.entries)]
	entry.at, entry.command = at, command
	l.count++
}

// list returns the decisions, oldest first.
func (l *decisionLog) list() []decision {
	var decisions []decision
	for i := max(0, l.count-len(l.entries)); i < l.count; i++ {
		entry := &l.entries[i%len(l.entries)]
		decisions = append(decisions, decision{entry.at, entry.command.String()})
	}
	return decisions
}
