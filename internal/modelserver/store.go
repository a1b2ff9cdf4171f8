package modelserver

import "hollymast/control"

// Store is the one source of all functions. It serves some fetches at once, the others wait in the order in which they came; each
// takes its time, multiplied while the store is slow. While it is closed none ends.
type Store struct {
	clock     Clock
	fetchTime control.Micros // of one fetch of a store that is not slow
	free      int            // fetches that it can begin to serve
	slowdown  float64
	state     StoreState
	queue     []func() // fetches that are not served yet
	stopped   []func() // fetches that are served and wait for the store to open
}

// StoreState is whether a store serves.
type StoreState bool

// The states of a store.
const (
	StoreOpen   StoreState = false
	StoreClosed StoreState = true
)

// NewStore returns an open store that serves some fetches at once.
func NewStore(clock Clock, fetchTime control.Micros, concurrent int) *Store {
	return &Store{clock: clock, fetchTime: fetchTime, free: concurrent, slowdown: 1}
}

// Degrade multiplies the time of fetches from the next one to begin, and closes or opens the store.
func (s *Store) Degrade(slowdown float64, state StoreState) {
	s.slowdown, s.state = slowdown, state
	if state == StoreClosed {
		return
	}
	stopped := s.stopped
	s.stopped = nil
	for _, done := range stopped {
		s.serve(done)
	}
}

// Fetch calls done once a function's bytes are there.
func (s *Store) Fetch(done func()) {
	if s.free == 0 {
		s.queue = append(s.queue, done)
		return
	}
	s.free--
	s.serve(done)
}

func (s *Store) serve(done func()) {
	if s.state == StoreClosed {
		s.stopped = append(s.stopped, done)
		return
	}
	s.clock.After(control.Micros(float64(s.fetchTime)*s.slowdown), func() {
		done()
		if len(s.queue) == 0 {
			s.free++
			return
		}
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.serve(next)
	})
}
