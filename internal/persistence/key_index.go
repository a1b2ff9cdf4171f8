package persistence

import (
	"hollymast/control"
)

// IdempotencyKey is the hash of a client's idempotency key and its function, as of record.Tag; 0 is none.
type IdempotencyKey uint64

// SentAttempt is an attempt that may have run.
type SentAttempt struct {
	Server control.ServerID
	At     control.Micros // when it was chosen, no later than it was sent
}

// indexedAttempt is an attempt with the latest time at which it can have been sent, from which it is remembered.
type indexedAttempt struct {
	SentAttempt
	latestAt control.Micros
}

// KeyIndex knows which attempts of keyed requests may have run, so that a client's retry is judged by what this incarnation and
// earlier ones sent. It does no I/O, reads no clock, and is not safe for use by several goroutines.
type KeyIndex struct {
	retention control.Micros
	maxKeys   int
	attempts  map[IdempotencyKey][]indexedAttempt
	order     []IdempotencyKey // by their first attempt
	first     int              // index in order; the keys before it are forgotten
	Evicted   int              // keys forgotten before their time, at the bound
}

// NewKeyIndex returns an index that remembers each key for a time after its last attempt, and no more than a number of keys.
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

// RemoveNotRun removes an attempt that is proven not to have run. Of several to one server it is the last one, since they are made
// one after another.
func (x *KeyIndex) RemoveNotRun(key IdempotencyKey, server control.ServerID) {
	attempts := x.attempts[key]
	for i := len(attempts) - 1; i >= 0; i-- {
		if attempts[i].Server == server {
			x.attempts[key] = append(attempts[:i:i], attempts[i+1:]...)
			return
		}
	}
}

// MayHaveRun returns a key's attempts that may have run, first to last. An attempt in the future is of a clock that was set back. How
// long ago it was can't be told, so it counts as beyond every retry window.
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

// Len returns the number of keys known.
func (x *KeyIndex) Len() int { return len(x.attempts) }

// pruneBatch is how many keys a call of Prune looks at: called once a second, it forgets more than a gateway admits.
const pruneBatch = 4096

// Prune forgets keys that are older than the retention, a part of them with each call, and the oldest beyond the bound.
func (x *KeyIndex) Prune(now control.Micros) {
	for range min(pruneBatch, len(x.order)-x.first) {
		key := x.order[x.first]
		attempts := x.attempts[key]
		if n := len(attempts); n > 0 && now < attempts[n-1].latestAt+x.retention {
			if len(x.attempts) <= x.maxKeys {
				if now >= attempts[0].latestAt+x.retention { // there was another attempt since: the key moves to the end
					x.order = append(x.order, key)
					x.first++
					continue
				}
				break
			}
			x.Evicted++
		}
		delete(x.attempts, key)
		x.first++
	}
	if x.first > len(x.order)/2 {
		x.order = append(x.order[:0:0], x.order[x.first:]...)
		x.first = 0
	}
}
