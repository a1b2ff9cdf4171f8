package fakeserver

import (
	"context"
	"sync"
	"time"

	"hollymast/control"
	"hollymast/internal/modelserver"
)

// lockedClock is a real clock whose timers run under a lock.
type lockedClock struct {
	startedAt time.Time
	mu        *sync.Mutex
}

// Now returns the time since the clock was created.
func (c lockedClock) Now() control.Micros { return micros(time.Since(c.startedAt)) }

// After calls f after a delay, with the lock held.
func (c lockedClock) After(d control.Micros, f func()) {
	time.AfterFunc(time.Duration(d)*time.Microsecond, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		f()
	})
}

// Store is the store that all functions are fetched from; servers share it.
type Store struct {
	mu    sync.Mutex
	model *modelserver.Store
}

// NewStore returns a store that serves up to concurrent fetches at once.
func NewStore(fetchTime time.Duration, concurrent int) *Store {
	s := &Store{}
	s.model = modelserver.NewStore(lockedClock{time.Now(), &s.mu}, micros(fetchTime), concurrent)
	return s
}

// Degrade multiplies the duration of fetches that start from now on, and closes or opens the store.
func (s *Store) Degrade(slowdown float64, state modelserver.StoreState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Degrade(slowdown, state)
}

// source gives the simulation of one server access to a store.
type source struct {
	store *Store
	clock lockedClock // of the server
}

// Fetch is called with the server's lock held. To avoid deadlock, the store's lock is only taken after a server's, never before.
func (s source) Fetch(done func()) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.model.Fetch(func() { s.clock.After(0, done) })
}

// Sleep waits for a duration, or returns the context's error if the context ends first.
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
