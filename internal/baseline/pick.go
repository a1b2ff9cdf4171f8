package baseline

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hollymast/control"
)

// pick chooses one of the candidates by the policy. It may reorder them.
func (b *balancer) pick(candidates []control.Endpoint, r *control.Request) control.Endpoint {
	switch b.policy {
	case LeastRequests:
		return b.leastRequests(candidates)
	case TwoChoices:
		return b.leastRequests([]control.Endpoint{b.randomCandidate(candidates), b.randomCandidate(candidates)})
	case BoundedHash:
		return b.boundedHash(candidates, r.Function)
	case LoadedFirst:
		return b.loadedFirst(candidates, r.Function)
	}
	return b.randomCandidate(candidates)
}

func (b *balancer) randomCandidate(candidates []control.Endpoint) control.Endpoint {
	return candidates[b.random.IntN(len(candidates))]
}

// leastRequests returns the candidate with the fewest requests in flight; ties are broken at random.
func (b *balancer) leastRequests(candidates []control.Endpoint) control.Endpoint {
	best, ties := candidates[0], 0
	for _, s := range candidates {
		switch n, least := b.inFlight[s.Server], b.inFlight[best.Server]; {
		case n < least:
			best, ties = s, 1
		case n == least:
			if ties++; b.random.IntN(ties) == 0 {
				best = s
			}
		}
	}
	return best
}

// boundedHash returns the first candidate, by rendezvous hashing, with at most 5/4 of the mean number of requests in
// flight.
func (b *balancer) boundedHash(candidates []control.Endpoint, f control.FunctionID) control.Endpoint {
	bound := 1 + 5*(b.totalInFlight+1)/(4*len(candidates))
	slices.SortFunc(candidates, func(x, y control.Endpoint) int {
		return cmp.Compare(rendezvousWeight(f, y.Server), rendezvousWeight(f, x.Server))
	})
	for _, s := range candidates {
		if b.inFlight[s.Server] < bound {
			return s
		}
	}
	return candidates[0]
}

func rendezvousWeight(f control.FunctionID, s control.ServerID) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], uint64(f))
	binary.LittleEndian.PutUint64(key[8:], uint64(s))
	return xxhash.Sum64(key[:])
}

// loadedFirst returns the best candidate of those assumed to have loaded a function. If there are none it returns a
// random one, which then loads the function.
func (b *balancer) loadedFirst(candidates []control.Endpoint, f control.FunctionID) control.Endpoint {
	loaded := slices.DeleteFunc(slices.Clone(candidates), func(s control.Endpoint) bool { return !b.loaded[f][s.Server] })
	if len(loaded) > 0 {
		return b.leastRequests(loaded)
	}
	s := b.randomCandidate(candidates)
	if b.loaded[f] == nil {
		b.loaded[f] = map[control.ServerID]bool{}
	}
	b.loaded[f][s.Server] = true
	return s
}
