package gateway

import (
	"hollymast/control"
	"hollymast/internal/record"
)

// decision is one decision of the core, as /router/state shows it.
type decision struct {
	At   control.Micros `json:"At"`
	Text string         `json:"Decision"`
}

// decisionLog holds the latest decisions: as many as fill some screens.
type decisionLog struct {
	entries [256]struct {
		at      control.Micros
		command record.Command
	}
	count int // of all that were added
}

// add adds a decision, in place of the oldest one.
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
