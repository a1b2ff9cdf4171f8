package gateway

import (
	"hollymast/control"
	"hollymast/internal/record"
)

// decision is one thing that the core asked for.
type decision struct {
	At       control.Micros `json:"At"`
	Decision string         `json:"Decision"`
}

// recent keeps the last deeds: as many as fill some screens.
type decisionLog struct {
	entries [256]struct {
		at   control.Micros
		deed record.Command
	}
	n int
}

func (r *decisionLog) add(at control.Micros, d record.Command) {
	x := &r.entries[r.n%len(r.entries)]
	x.at, x.deed = at, d
	r.n++
}

func (r *decisionLog) list() []decision {
	var decisions []decision
	for i := max(0, r.n-len(r.entries)); i < r.n; i++ {
		x := &r.entries[i%len(r.entries)]
		decisions = append(decisions, decision{x.at, x.deed.String()})
	}
	return decisions
}
