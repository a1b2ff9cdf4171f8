package membership

import (
	"hollymast/control"
)

// Bounds are what is made of a suspicious source.
type Bounds struct {
	MassWithdrawalShare float64        // withdrawing more than this share of the usable servers in one moment is suspicious
	MassWithdrawalMin   int            // so many may always go
	HoldTime            control.Micros // for which such servers are kept; withdrawn for longer they are believed gone
	FlapLimit           int            // changes between usable and not within Calm after which a server counts as not usable
	StableTime          control.Micros // and for how long after the last change
	WithdrawalWindow    control.Micros // withdrawals within it count together
	SettleTime          control.Micros // and for which the last of them are kept once the others are back
	MaxOrphans          int            // endpoints of clusters that were not yet named, at most
}

// Usual are bounds for a fleet of some ten to some thousand servers. Half: a rolling update takes a tenth or a quarter at a
// time. 30 s: a control plane restarts within that. A second: one change of many servers comes in several messages.
// 200 ms: their return does too, and what is then still missing is gone within the time that a drain allows.
var DefaultBounds = Bounds{MassWithdrawalShare: 0.5, MassWithdrawalMin: 2, HoldTime: 30_000_000, FlapLimit: 6, StableTime: 5_000_000, WithdrawalWindow: 1_000_000, SettleTime: 200_000, MaxOrphans: 10_000}
