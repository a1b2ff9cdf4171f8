package modelserver

import (
	"slices"
	"testing"

	"hollymast/control"
	"hollymast/internal/invariant"
)

// hand is a clock that is moved by hand.
type hand struct {
	now control.Micros
	due []struct {
		at control.Micros
		f  func()
	}
}

func (h *hand) Now() control.Micros { return h.now }

func (h *hand) After(d control.Micros, f func()) {
	h.due = append(h.due, struct {
		at control.Micros
		f  func()
	}{h.now + d, f})
}

// to moves the clock and runs what falls due, in order.
func (h *hand) to(t control.Micros) {
	for {
		next := -1
		for i, d := range h.due {
			if d.at <= t && (next < 0 || d.at < h.due[next].at) {
				next = i
			}
		}
		if next < 0 {
			h.now = t
			return
		}
		d := h.due[next]
		h.due = slices.Delete(h.due, next, next+1)
		h.now = d.at
		d.f()
	}
}

type bench struct {
	*Server
	clock *hand
	store *Store
	log   []invariant.Record
	got   []Response
}

func newBench(change func(*Config)) *bench {
	b := &bench{clock: &hand{now: 1}}
	m := Config{MaxReplicas: 4, Lanes: 1, Cores: 1, ExecutionTime: 10_000, QueueLimit: 3, LoadTime: 20_000, MaxLoads: 2, DedupWindow: 1_000_000, OverloadWindow: 1_000_000, OverloadRate: 1000}
	change(&m)
	b.store = NewStore(b.clock, 5_000, 1)
	b.Server = New(m, b.clock, b.store, func(r invariant.Record) { b.log = append(b.log, r) })
	b.Start(false)
	return b
}

func (b *bench) infer(function, mark string) {
	b.Infer(Request{ID: "j", Function: function, IdempotencyKey: mark}, func(r Response) { b.got = append(b.got, r) })
}

func (b *bench) endings() (es []Result) {
	for _, r := range b.got {
		es = append(es, r.Result)
	}
	return es
}

// A repeat that comes while the first execution waits ends with it; if that one is refused, so is the repeat: nothing ran.
func TestRepeatsEndAsTheirFirst(t *testing.T) {
	b := newBench(func(m *Config) { m.QueueLimit = 1 })
	b.infer("a", "x")
	b.infer("a", "x")
	b.infer("a", "y") // no room to wait
	b.infer("a", "y") // known no more: refused on its own account
	if b.clock.to(1_000_000); !slices.Equal(b.endings(), []Result{Overloaded, Overloaded, Succeeded, Succeeded}) {
		t.Errorf("%v", b.got)
	}
	began := 0
	for _, r := range b.log {
		if r.Kind == invariant.AttemptStarted {
			began++
		}
	}
	if began != 1 {
		t.Errorf("%d ran", began)
	}
}

// A store that closes in mid-fetch keeps loads waiting, in their order, until it opens; the report tells of them meanwhile.
func TestClosedStore(t *testing.T) {
	b := newBench(func(m *Config) { m.QueueLimit = 9 })
	b.store.Degrade(1, true)
	b.infer("a", "")
	b.infer("b", "")
	b.clock.to(1_000_000)
	if r := b.LoadReport(); len(b.got) > 0 || r.PendingLoads != 2 || r.PinnedMemory != 0.5 {
		t.Errorf("%v, %+v", b.got, r)
	}
	b.store.Degrade(1, false)
	if b.clock.to(1_026_000); len(b.got) != 0 {
		t.Errorf("answered before its work was done: %v", b.got)
	}
	if b.clock.to(2_000_000); !slices.Equal(b.endings(), []Result{Succeeded, Succeeded}) || b.got[0].CacheStatus != control.CacheMiss {
		t.Errorf("%v", b.got)
	}
}

// Death breaks what is open, in order, and nothing of that life ends in the next.
func TestDeathVoidsWhatWasBegun(t *testing.T) {
	b := newBench(func(*Config) {})
	b.infer("a", "")
	b.Load("b", 2, 0, func(r Response) { b.got = append(b.got, r) })
	b.clock.to(3_000)
	b.Kill()
	b.Start(true)
	b.clock.to(1_000_000)
	if names, _ := b.Functions(); !slices.Equal(b.endings(), []Result{ConnectionReset, ConnectionReset}) || len(names) != 0 || b.loading != 0 {
		t.Errorf("%v, %v stand, %d loads", b.got, names, b.loading)
	}
}
