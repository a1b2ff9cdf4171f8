package modelserver

import "hollymast/control"

// Store is the one source of all functions. It serves some fetches at once, the others wait in the order in which they came; each
// takes its time, multiplied while the store is slow. While it is closed none ends.
type Store struct {
	clock  Clock
	take   control.Micros // of one fetch with nothing in the way
	free   int
	slow   float64
	closed bool
	queue  []func() // waiting for a place
	kept   []func() // have one, and wait for the store to open
}

// NewStore gives an open store that serves atOnce fetches at once.
func NewStore(clock Clock, take control.Micros, atOnce int) *Store {
	return &Store{clock: clock, take: take, free: atOnce, slow: 1}
}

// Set changes its speed, from the next fetch to begin, and opens or closes it.
func (s *Store) Degrade(slow float64, closed bool) {
	s.slow, s.closed = slow, closed
	if closed {
		return
	}
	kept := s.kept
	s.kept = nil
	for _, done := range kept {
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
	if s.closed {
		s.kept = append(s.kept, done)
		return
	}
	s.clock.After(control.Micros(float64(s.take)*s.slow), func() {
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
