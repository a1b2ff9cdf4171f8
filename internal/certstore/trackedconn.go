package certstore

import (
	"hollymast/internal/tlspolicy"
	"net"
)

// watched is a connection that stands for long, on which nobody asks whether its peer is still believed.
type trackedConn struct {
	net.Conn
	raw   net.Conn
	store *Store
	peer  tlspolicy.VerifiedPeer
}

func (w *trackedConn) Close() error {
	w.store.mu.Lock()
	delete(w.store.tracked, w)
	w.store.mu.Unlock()
	return w.Conn.Close()
}

func (r *Store) closeUntrusted() {
	now := r.now()
	for w := range r.tracked {
		if err := r.verifier.Reverify(now, &w.peer); err != nil {
			r.countRejectedLocked(err)
			r.log("a connection is cut: " + err.Error())
			delete(r.tracked, w)
			w.raw.Close() // not the secret one, whose goodbye may wait
		}
	}
}
