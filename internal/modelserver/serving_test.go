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
	got   []Reply
}

func newBench(change func(*Make)) *bench {
	b := &bench{clock: &hand{now: 1}}
	m := Make{Copies: 4, Lanes: 1, Cores: 1, Work: 10_000, Queue: 3, Load: 20_000, Loads: 2, Window: 1_000_000, Fall: 1_000_000, FallOver: 1000}
	change(&m)
	b.store = NewStore(b.clock, 5_000, 1)
	b.Server = New(m, b.clock, b.store, func(r invariant.Record) { b.log = append(b.log, r) })
	b.Start(false)
	return b
}

func (b *bench) infer(function, mark string) {
	b.Infer(Ask{Job: "j", Function: function, Mark: mark}, func(r Reply) { b.got = append(b.got, r) })
}

func (b *bench) endings() (es []Ending) {
	for _, r := range b.got {
		es = append(es, r.Ending)
	}
	return es
}

// A repeat that comes while the first execution waits ends with it; if that one is refused, so is the repeat: nothing ran.
func TestRepeatsEndAsTheirFirst(t *testing.T) {
	b := newBench(func(m *Make) { m.Queue = 1 })
	b.infer("a", "x")
	b.infer("a", "x")
	b.infer("a", "y") // no room to wait
	b.infer("a", "y") // known no more: refused on its own account
	if b.clock.to(1_000_000); !slices.Equal(b.endings(), []Ending{Full, Full, Done, Done}) {
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
	b := newBench(func(m *Make) { m.Queue = 9 })
	b.store.Set(1, true)
	b.infer("a", "")
	b.infer("b", "")
	b.clock.to(1_000_000)
	if r := b.Report(); len(b.got) > 0 || r.PendingLoads != 2 || r.PinnedMemory != 0.5 {
		t.Errorf("%v, %+v", b.got, r)
	}
	b.store.Set(1, false)
	if b.clock.to(1_026_000); len(b.got) != 0 {
		t.Errorf("answered before its work was done: %v", b.got)
	}
	if b.clock.to(2_000_000); !slices.Equal(b.endings(), []Ending{Done, Done}) || b.got[0].Found != control.CacheMiss {
		t.Errorf("%v", b.got)
	}
}

// Death breaks what is open, in order, and nothing of that life ends in the next.
func TestDeathVoidsWhatWasBegun(t *testing.T) {
	b := newBench(func(*Make) {})
	b.infer("a", "")
	b.Order("b", 2, 0, func(r Reply) { b.got = append(b.got, r) })
	b.clock.to(3_000)
	b.Kill()
	b.Start(true)
	b.clock.to(1_000_000)
	if names, _ := b.Standing(); !slices.Equal(b.endings(), []Ending{Broken, Broken}) || len(names) != 0 || b.loading != 0 {
		t.Errorf("%v, %v stand, %d loads", b.got, names, b.loading)
	}
}
