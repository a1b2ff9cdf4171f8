package attempt

import (
	"sync"

	"hollymast/control"
)

// RecentRequests remembers the ids of requests that have ended and may have run, so that a request that comes again under its
// id is recognized. The protocol has a new id for each try, so only a client that breaks it repeats one. The zero value is
// ready to use. It is safe for concurrent use.
type RecentRequests struct {
	mu sync.Mutex
	// Two generations: the younger one is filled for half of the time, then it replaces the older one.
	younger, older map[control.RequestID]struct{}
	youngerSince   control.Micros
}

const (
	// rememberFor is the least time, in microseconds, for which an id is remembered: longer than clients wait.
	rememberFor = 10_000_000
	// maxRemembered bounds the ids of one generation, which take about 40 bytes each.
	maxRemembered = 1 << 15
)

// Add remembers the id of a request that may have run and has ended.
func (r *RecentRequests) Add(now control.Micros, id control.RequestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	if r.younger == nil {
		r.younger = map[control.RequestID]struct{}{}
	}
	r.younger[id] = struct{}{}
}

// Contains reports whether a request with this id has ended recently and may have run.
func (r *RecentRequests) Contains(now control.Micros, id control.RequestID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	_, younger := r.younger[id]
	_, older := r.older[id]
	return younger || older
}

// rotate starts a new generation if it is time, or if the younger one is full. The caller holds mu.
func (r *RecentRequests) rotate(now control.Micros) {
	age := now - r.youngerSince
	if age < rememberFor && len(r.younger) < maxRemembered {
		return
	}
	if r.older = r.younger; age >= 2*rememberFor {
		r.older = nil
	}
	r.younger, r.youngerSince = nil, now
}
