package modelserver

import "hollymast/control"

// Store is the store that all functions are fetched from. It serves a limited number of fetches at once; others wait in order of
// arrival. The duration of a fetch is multiplied while the store is slow. While the store is closed, no fetch starts.
type Store struct {
	clock     Clock
	fetchTime control.Micros // of one fetch at normal speed
	freeSlots int            // how many more fetches can be served at once
	slowdown  float64
	state     StoreState
	queue     []func() // fetches that wait for a free slot
	blocked   []func() // fetches that have a slot and wait for the store to open
}

// StoreState says whether a store is open or closed.
type StoreState bool

// The states of a store.
const (
	StoreOpen   StoreState = false
	StoreClosed StoreState = true
)

// NewStore returns an open store that serves up to concurrent fetches at once.
func NewStore(clock Clock, fetchTime control.Micros, concurrent int) *Store {
	return &Store{clock: clock, fetchTime: fetchTime, freeSlots: concurrent, slowdown: 1}
}

// Degrade multiplies the duration of fetches that start from now on, and closes or opens the store.
func (s *Store) Degrade(slowdown float64, state StoreState) {
	s.slowdown, s.state = slowdown, state
	if state == StoreClosed {
		return
	}
	blocked := s.blocked
	s.blocked = nil
	for _, done := range blocked {
		s.startFetch(done)
	}
}

// Fetch calls done when a function has been fetched.
func (s *Store) Fetch(done func()) {
	if s.freeSlots == 0 {
		s.queue = append(s.queue, done)
		return
	}
	s.freeSlots--
	s.startFetch(done)
}

// startFetch starts a fetch that has a slot, or keeps it until the store opens.
func (s *Store) startFetch(done func()) {
	if s.state == StoreClosed {
		s.blocked = append(s.blocked, done)
		return
	}
	s.clock.After(control.Micros(float64(s.fetchTime)*s.slowdown), func() {
		done()
		if len(s.queue) == 0 {
			s.freeSlots++
			return
		}
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.startFetch(next)
	})
}
