package modelcheck

import (
	"sync"
	"testing"
)

// Whatever the order in which workers reach a state, the least origin of its first depth is kept, and an origin of a
// later depth is ignored.
func TestLeastOriginOfFirstDepthIsKept(t *testing.T) {
	key := Key{1}
	least, greater := origin{Parent: Key{2}}, origin{Parent: Key{3}}
	for _, order := range [][]origin{{least, greater}, {greater, least}} {
		v := newVisitedStates()
		for i, from := range order {
			if isNew := v.add(key, from, 5); isNew != (i == 0) {
				t.Errorf("origin %d: isNew is %t", i, isNew)
			}
		}
		v.add(key, origin{}, 6)
		if from, ok := v.origin(key); !ok || from != least {
			t.Errorf("order %v: kept %v, found %t", order, from, ok)
		}
	}
}

// When several workers reach a state concurrently, exactly one of them adds it, and the least origin is kept.
func TestLeastOriginOfManyWorkers(t *testing.T) {
	for range 200 {
		v := newVisitedStates()
		var workers sync.WaitGroup
		var mu sync.Mutex
		first := 0
		for i := range 8 {
			workers.Go(func() {
				if v.add(Key{1}, origin{Parent: Key{byte(i)}}, 1) {
					mu.Lock()
					first++
					mu.Unlock()
				}
			})
		}
		workers.Wait()
		if from, _ := v.origin(Key{1}); first != 1 || from.Parent != (Key{0}) {
			t.Fatalf("%d workers added the state, kept origin %v", first, from)
		}
	}
}
