package xds

import (
	"time"

	"hollymast/internal/backoff"
)

// The first and the longest wait: a control plane that restarts is reached again quickly, and one that stays down gets a few
// connection attempts a minute from each router.
const (
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 10 * time.Second
)

// NewBackoff returns the backoff between attempts to reach a control plane.
func NewBackoff(seed uint64) *backoff.Backoff { return backoff.New(seed, firstBackoff, maxBackoff) }
