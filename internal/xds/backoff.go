package xds

import (
	"time"

	"hollymast/internal/backoff"
)

// The first wait and the longest: a control plane that restarts is reached again within moments, one that is down for long
// gets some attempts a minute from each router.
const (
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 10 * time.Second
)

// NewBackoff returns the waits between attempts to reach a control plane.
func NewBackoff(seed uint64) *backoff.Backoff { return backoff.New(seed, firstBackoff, maxBackoff) }
