package persistence

import (
	"hollymast/control"
)

// IdempotencyKey is a hash (see record.KeyedHash) of a client's idempotency key and the function; 0 means none.
type IdempotencyKey uint64

// SentAttempt is an attempt that may have run.
type SentAttempt struct {
	Server control.ServerID
	At     control.Micros // when the server was chosen: no later than the attempt was sent
}

// indexedAttempt is an attempt with the latest time at which it can have been sent; its retention is counted from then.
type indexedAttempt struct {
	SentAttempt
	latestAt control.Micros
}

// KeyIndex holds the attempts of requests with an idempotency key that may have run, so that a client's retry can be checked against what
// this and earlier incarnations sent. It does no I/O, reads no clock, and is not safe for concurrent use.
type KeyIndex struct {
	retention control.Micros
	maxKeys   int
	attempts  map[IdempotencyKey][]indexedAttempt
	order     []IdempotencyKey // in the order of their first attempts
	head      int              // index of the first key in order that is not removed
	Evicted   int              // number of keys removed before the end of their retention because of maxKeys
}

// NewKeyIndex returns an index that keeps each key for the retention after its last attempt, and at most maxKeys keys.
func NewKeyIndex(retention control.Micros, maxKeys int) *KeyIndex {
	return &KeyIndex{retention: retention, maxKeys: maxKeys, attempts: map[IdempotencyKey][]indexedAttempt{}}
}

// Add adds an attempt.
func (x *KeyIndex) Add(key IdempotencyKey, a SentAttempt) { x.add(key, a, a.At) }

func (x *KeyIndex) add(key IdempotencyKey, a SentAttempt, latestAt control.Micros) {
	attempts, known := x.attempts[key]
	if !known {
		x.order = append(x.order, key)
	}
	x.attempts[key] = append(attempts, indexedAttempt{a, latestAt})
}

// RemoveNotRun removes an attempt that is proven not to have run. If there are several attempts at the server it removes the last one,
// since they are made one after another.
func (x *KeyIndex) RemoveNotRun(key IdempotencyKey, server control.ServerID) {
	attempts := x.attempts[key]
	for i := len(attempts) - 1; i >= 0; i-- {
		if attempts[i].Server == server {
			x.attempts[key] = append(attempts[:i:i], attempts[i+1:]...)
			return
		}
	}
}

// MayHaveRun returns a key's attempts that may have run, first to last. If the time of an attempt is in the future, the clock was set
// back; since its age is unknown, its time is returned as 0, which is outside every retry window.
func (x *KeyIndex) MayHaveRun(now control.Micros, key IdempotencyKey) []SentAttempt {
	var attempts []SentAttempt
	for _, a := range x.attempts[key] {
		if a.At > now {
			a.At = 0
		}
		attempts = append(attempts, a.SentAttempt)
	}
	return attempts
}

// Len returns the number of keys.
func (x *KeyIndex) Len() int { return len(x.attempts) }

// pruneBatch is how many keys a call of Prune examines. Called once per second, Prune removes keys faster than a gateway admits them.
const pruneBatch = 4096

// Prune removes keys older than the retention, and the oldest keys beyond maxKeys. Each call examines pruneBatch keys at most.
func (x *KeyIndex) Prune(now control.Micros) {
	for range min(pruneBatch, len(x.order)-x.head) {
		key := x.order[x.head]
		attempts := x.attempts[key]
		if n := len(attempts); n > 0 && now < attempts[n-1].latestAt+x.retention {
			if len(x.attempts) <= x.maxKeys {
				if now >= attempts[0].latestAt+x.retention { // later attempts are still within the retention: move the key to the end
					x.order = append(x.order, key)
					x.head++
					continue
				}
				break
			}
			x.Evicted++
		}
		delete(x.attempts, key)
		x.head++
	}
	if x.head > len(x.order)/2 {
		x.order = append(x.order[:0:0], x.order[x.head:]...)
		x.head = 0
	}
}
