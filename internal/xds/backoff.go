package xds

import (
	"time"

	"hollymast/internal/backoff"
)

// The first wait and the longest: a control plane that restarts is found again within moments, one that is down for long is
// asked by each router some times a minute.
const (
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 10 * time.Second
)

// NewBackoff gives the waits between tries to reach a control plane.
func NewBackoff(seed uint64) *backoff.Backoff { return backoff.New(seed, firstBackoff, maxBackoff) }
