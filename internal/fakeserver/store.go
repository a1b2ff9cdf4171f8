package fakeserver

import (
	"context"
	"sync"
	"time"

	"hollymast/control"
	"hollymast/internal/modelserver"
)

// lockedClock is the machine's clock; what falls due runs under a lock.
type lockedClock struct {
	base time.Time
	mu   *sync.Mutex
}

// Now is the time since the clock was made.
func (c lockedClock) Now() control.Micros { return micros(time.Since(c.base)) }

// After has f called after a span, under the lock.
func (c lockedClock) After(d control.Micros, f func()) {
	time.AfterFunc(time.Duration(d)*time.Microsecond, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		f()
	})
}

// Store is the one source of all functions, which servers share.
type Store struct {
	mu    sync.Mutex
	model *modelserver.Store
}

// NewStore returns a store that serves some fetches at once.
func NewStore(fetchTime time.Duration, concurrent int) *Store {
	s := &Store{}
	s.model = modelserver.NewStore(lockedClock{time.Now(), &s.mu}, micros(fetchTime), concurrent)
	return s
}

// Degrade multiplies the time of fetches from the next one to begin, and closes or opens the store.
func (s *Store) Degrade(slowdown float64, state modelserver.StoreState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Degrade(slowdown, state)
}

// source is a store as one server's model sees it.
type source struct {
	store *Store
	clock lockedClock // the server's
}

// Fetch is called under the server's lock. The store's lock is always taken after a server's, never before one.
func (s source) Fetch(done func()) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.model.Fetch(func() { s.clock.After(0, done) })
}

// Sleep waits for a duration; it returns the context's error where that ends before.
func Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
