package membership

import "hollymast/control"

// Bounds limit what a source of endpoints can make of the endpoint list in a short time.
type Bounds struct {
	// MassWithdrawalShare is the share of the usable servers above which withdrawals within WithdrawalWindow are held.
	MassWithdrawalShare float64
	// MassWithdrawalMin is how many servers may be withdrawn within WithdrawalWindow whatever their share.
	MassWithdrawalMin int
	// WithdrawalWindow is the time within which withdrawals count together.
	WithdrawalWindow control.Micros
	// HoldTime is how long servers of a mass withdrawal stay listed. Servers withdrawn for longer are removed.
	HoldTime control.Micros
	// SettleTime is how long the rest of a mass withdrawal stays listed once most of its servers are back.
	SettleTime control.Micros
	// FlapLimit is the number of changes between usable and not usable within StableTime from which a server is flapping: it
	// is listed as draining until it is stable.
	FlapLimit int
	// StableTime is how long a flapping server must not change to be stable.
	StableTime control.Micros
	// MaxOrphans bounds the endpoints kept for clusters that the source has not announced.
	MaxOrphans int
}

// DefaultBounds suit a fleet of some ten to some thousand servers.
//   - Half of the servers: a rolling update takes a tenth or a quarter at a time.
//   - A hold of 30 s: a control plane restarts within that.
//   - A window of 1 s: one change of many servers comes in several messages.
//   - A settle time of 200 ms: their return comes in several messages too, and what is still missing then is removed
//     within the grace that a drain allows.
var DefaultBounds = Bounds{
	MassWithdrawalShare: 0.5,
	MassWithdrawalMin:   2,
	WithdrawalWindow:    1_000_000,
	HoldTime:            30_000_000,
	SettleTime:          200_000,
	FlapLimit:           6,
	StableTime:          5_000_000,
	MaxOrphans:          10_000,
}
