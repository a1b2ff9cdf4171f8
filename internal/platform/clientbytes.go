package platform

import (
	"sync/atomic"

	"hollymast/control"
)

// heldBytes counts the bytes that the router holds for all clients; see control.ClientMemory. It is safe for concurrent use.
type heldBytes struct {
	limits control.ClientMemory
	total  atomic.Int64
}

// clientBytes counts the bytes that are held for one client, as a part of those of all. It is safe for concurrent use.
type clientBytes struct {
	all  *heldBytes
	held atomic.Int64
}

// addRequest counts the bytes of a request if they may be held, and reports whether they may.
func (b *clientBytes) addRequest(bytes int64) bool {
	if !b.all.limits.Admits(b.all.total.Load(), b.held.Load(), bytes) {
		return false
	}
	b.add(bytes)
	return true
}

// addResponse counts the bytes of a response if they may be held behind the given bytes that the client has not read, and
// reports whether they may.
func (b *clientBytes) addResponse(unread, bytes int64) bool {
	if !b.all.limits.AdmitsResponse(b.all.total.Load(), unread, bytes) {
		return false
	}
	b.add(bytes)
	return true
}

func (b *clientBytes) add(bytes int64) {
	b.all.total.Add(bytes)
	b.held.Add(bytes)
}

// remove stops counting bytes that were counted.
func (b *clientBytes) remove(bytes int64) { b.add(-bytes) }
