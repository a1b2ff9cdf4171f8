package control

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// at returns the server at a position in the list.
func (l *serverList) at(i int) *server { return slices.Collect(l.all)[i] }

// A server list behaves like a sorted slice while it grows and shrinks, and its blocks are neither empty nor too many.
func TestServerListMatchesSortedSlice(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var l serverList
	var want []ServerID
	for step := range 60_000 {
		id := ServerID(random.IntN(4000))
		if step/6000%2 == 1 {
			id = ServerID(step % 4000) // in order
		}
		i, known := slices.BinarySearch(want, id)
		if s := l.find(id); (s != nil) != known || s != nil && s.Server != id {
			t.Fatalf("step %d: server %d: got %+v, known %t", step, id, s, known)
		}
		grow := step/3000%2 == 0 // add in nine of ten steps, otherwise remove in nine of ten
		switch add := random.IntN(10) < 9 == grow; {
		case known && !add:
			want = slices.Delete(want, i, i+1)
			l.remove(id)
		case !known && add:
			want = slices.Insert(want, i, id)
			l.insert(&server{Endpoint: Endpoint{Server: id}})
		case known:
			l.insert(&server{Endpoint: Endpoint{Server: id}})
		default:
			l.remove(id)
		}
		if step%50 == 0 {
			checkServerList(t, &l, want)
		}
	}
	for _, id := range want {
		l.remove(id)
	}
	checkServerList(t, &l, nil)
}

// checkServerList compares a list with the sorted IDs of its servers.
func checkServerList(t *testing.T, l *serverList, want []ServerID) {
	t.Helper()
	var got []ServerID
	for s := range l.all {
		got = append(got, s.Server)
	}
	if !slices.Equal(got, want) || l.len != len(want) {
		t.Fatalf("got %d, %d servers, want %d", got, l.len, want)
	}
	for _, b := range l.blocks {
		if len(b.ids) == 0 || len(b.ids) > maxBlock || b.first != b.ids[0] || len(b.ids) != len(b.servers) {
			t.Fatalf("a block of %d and %d, first %d", len(b.ids), len(b.servers), b.first)
		}
	}
	if len(l.blocks) > 1+len(want)/(maxBlock/4) {
		t.Fatalf("%d blocks for %d servers", len(l.blocks), len(want))
	}
}
