package control

import (
	"cmp"
	"slices"
)

// index is what could be found by asking all servers, kept so that nobody has to: a fleet may have thousands. It follows from the
// rest of the state, is built anew after a restore, and is never stored.
type index struct {
	listed Micros    // when a list was last taken in: until then what it tells of was on the list
	gone   []*server // by when they left, then by id
}

func byID(a, b *server) int { return cmp.Compare(a.Server, b.Server) }

func byLeft(a, b *server) int { return cmp.Or(cmp.Compare(a.left, b.left), byID(a, b)) }

// with gives a sorted list that has the server in it.
func with(list []*server, s *server, by func(a, b *server) int) []*server {
	i, in := slices.BinarySearchFunc(list, s, by)
	if in {
		return list
	}
	return slices.Insert(list, i, s)
}

// without gives a sorted list that has not.
func without(list []*server, s *server, by func(a, b *server) int) []*server {
	if i, in := slices.BinarySearchFunc(list, s, by); in {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// settle takes in what a list has changed about a server. Before is when the list before it was taken in.
func (r *Router) settle(before Micros, s *server) {
	x := &r.index
	switch there := s.State != Gone; {
	case there && !s.there:
		x.gone = without(x.gone, s, byLeft)
	case !there && s.there:
		s.left = before
		fallthrough
	case !there:
		x.gone = with(x.gone, s, byLeft)
	}
	s.there = s.State != Gone
}

// lastListed tells when a server was last on the list.
func (r *Router) lastListed(s *server) Micros {
	if s.there {
		return r.index.listed
	}
	return s.left
}

// reindex builds the index from the rest of the state.
func (r *Router) reindex() {
	r.index = index{}
	for _, s := range r.servers {
		s.there, s.holds = false, nil
		if s.State != Gone {
			r.index.listed = max(r.index.listed, s.left)
		}
	}
	for _, s := range r.servers {
		r.settle(r.index.listed, s)
	}
	for _, f := range r.order {
		for _, in := range f.instances {
			in.server.hold(f)
		}
	}
}

// hold notes that something is known of a function's copies on a server.
func (s *server) hold(f *function) {
	if i, known := slices.BinarySearchFunc(s.holds, f, byFunction); !known {
		s.holds = slices.Insert(s.holds, i, f)
	}
}

// drop notes that nothing is any more.
func (s *server) drop(f *function) {
	if i, known := slices.BinarySearchFunc(s.holds, f, byFunction); known {
		s.holds = slices.Delete(s.holds, i, i+1)
	}
}

func byFunction(a, b *function) int { return cmp.Compare(a.id, b.id) }
