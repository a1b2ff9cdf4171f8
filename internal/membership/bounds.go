package membership

import "hollymast/control"

// Bounds limit how fast an endpoint source can change the endpoint list.
type Bounds struct {
	// MassWithdrawalShare is the share of the usable servers above which servers withdrawn within WithdrawalWindow are held:
	// they stay listed for HoldTime.
	MassWithdrawalShare float64
	// MassWithdrawalMin is the number of servers that may be withdrawn within WithdrawalWindow regardless of their share.
	MassWithdrawalMin int
	// WithdrawalWindow is the period over which withdrawals are added up.
	WithdrawalWindow control.Micros
	// HoldTime is how long the servers of a mass withdrawal stay listed before they are removed.
	HoldTime control.Micros
	// SettleTime is how long the remaining servers of a mass withdrawal stay listed once most of them have returned.
	SettleTime control.Micros
	// FlapLimit is the number of changes between usable and unusable within StableTime at which a server counts as flapping.
	// A flapping server is listed as draining until it is stable.
	FlapLimit int
	// StableTime is how long a flapping server must stay unchanged to count as stable.
	StableTime control.Micros
	// MaxOrphans is the maximum number of endpoints kept for clusters that the source has not announced.
	MaxOrphans int
}

// DefaultBounds suit a fleet of tens to thousands of servers.
//   - Mass withdrawal at half of the servers: a rolling update replaces a tenth or a quarter at a time.
//   - A hold of 30 s: a control plane restarts within that time.
//   - A window of 1 s: a change of many servers arrives in several messages.
//   - A settle time of 200 ms: returning servers arrive in several messages too, and servers still missing afterwards are
//     removed within the grace period of a drain.
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
