package control

import "testing"

// However many clients hold as much as they may, all together stay within the total, and a client that holds little is admitted.
func TestClientMemory(t *testing.T) {
	const clients, memory, message = 192, 64 << 20, 17 << 10
	m := ClientMemoryFor(memory, clients)
	held, total := make([]int64, clients), int64(0)
	for client := range clients - 1 { // the first one takes all that it gets, then the next
		for bytes := m.RequestBytes(message); m.Admits(total, held[client], bytes); {
			held[client] += bytes
			total += bytes
		}
	}
	if half := m.Total / 2; held[0] > half || held[0] < half-message-requestOverhead || held[1] > m.PerClient || total > m.Total {
		t.Errorf("the first holds %d bytes, the second %d, all %d, with limits %+v", held[0], held[1], total, m)
	}
	if !m.Admits(total, 0, m.RequestBytes(message)) {
		t.Error("a client that holds nothing is not admitted beside those that hold much")
	}
	for _, c := range []struct {
		unread, more int64
		want         bool
	}{{0, message, true}, {m.PerClient, message, false}} {
		if got := m.AdmitsResponse(m.Total, c.unread, c.more); got != c.want {
			t.Errorf("a response of %d bytes behind %d unread ones: admitted %t", c.more, c.unread, got)
		}
	}
	if !m.AdmitsResponse(m.Total-message, m.PerClient, message) {
		t.Error("a response is refused though there is memory for it")
	}
	if unlimited := ClientMemoryFor(0, clients); !unlimited.Admits(1<<40, 1<<40, 1) {
		t.Error("a limit without a limit on memory")
	}
}
