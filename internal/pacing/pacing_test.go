package pacing

import (
	"testing"
	"testing/synctest"
	"time"

	"hollymast/control"
)

// What a connection sends without effect is read at once up to its burst, then at its own rate and a part of the shared one.
func TestPacer(t *testing.T) {
	limits := control.ClientRate{Burst: 10, PerSecond: 100, SharedPerSecond: 50}
	shared := newShared(limits)
	first, second := New(shared), New(shared)
	now := time.Now()
	settle := func(p *Pacer, messages int, want time.Duration) {
		t.Helper()
		for range messages {
			p.Charge(0)
		}
		if wait := p.Settle(now); wait.Round(time.Millisecond) != want {
			t.Errorf("%d messages: a wait of %v, want %v", messages, wait, want)
		}
	}
	settle(first, 10, 0)
	if first.Exceeded() {
		t.Error("the burst counts as too much")
	}
	settle(first, 5, 0) // the shared burst
	if first.Exceeded() {
		t.Error("the shared burst counts as too much")
	}
	settle(first, 1, 20*time.Millisecond)
	if !first.Exceeded() {
		t.Error("the wait for the shared rate is not noticed")
	}
	settle(second, 10, 0) // another connection's own rate is not affected
	settle(second, 1, 40*time.Millisecond)
	now = now.Add(40 * time.Millisecond)
	settle(first, 4, 0) // 40 ms of its own rate
	if !first.Exceeded() {
		t.Error("the connection counts as quiet again at once")
	}
	now = now.Add(60 * time.Millisecond)
	settle(first, 0, 0)
	if first.Exceeded() {
		t.Error("the connection counts as too fast after a pause")
	}
	first.Charge(16 << 10)
	if owed := first.owed.Load(); owed != 5 {
		t.Errorf("a message of 16 KiB counts as %d", owed)
	}
}

// A pause ends early once it is interrupted.
func TestPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		Pause(time.Second, func() bool { return false })
		if took := time.Since(begin); took != time.Second {
			t.Errorf("a pause of a second took %v", took)
		}
		begin = time.Now()
		Pause(time.Second, func() bool { return time.Since(begin) >= 100*time.Millisecond })
		if took := time.Since(begin); took != 100*time.Millisecond {
			t.Errorf("interrupted after 0.1 s, it took %v", took)
		}
	})
}
