package modelserver

import (
	"slices"
	"testing"

	"hollymast/control"
	"hollymast/internal/invariant"
)

// manualClock is a clock that the test moves.
type manualClock struct {
	now    control.Micros
	timers []timer
}

type timer struct {
	at control.Micros
	f  func()
}

func (c *manualClock) Now() control.Micros { return c.now }

func (c *manualClock) After(d control.Micros, f func()) {
	c.timers = append(c.timers, timer{c.now + d, f})
}

// advanceTo moves the clock and runs what falls due, in order.
func (c *manualClock) advanceTo(t control.Micros) {
	for {
		next := -1
		for i, d := range c.timers {
			if d.at <= t && (next < 0 || d.at < c.timers[next].at) {
				next = i
			}
		}
		if next < 0 {
			c.now = t
			return
		}
		d := c.timers[next]
		c.timers = slices.Delete(c.timers, next, next+1)
		c.now = d.at
		d.f()
	}
}

// testServer is a server with a clock and a store of its own, and what it logged and answered.
type testServer struct {
	*Server
	clock     *manualClock
	store     *Store
	log       []invariant.Record
	responses []Response
}

func newTestServer(change func(*Config)) *testServer {
	s := &testServer{clock: &manualClock{now: 1}}
	config := Config{MaxReplicas: 4, Lanes: 1, Cores: 1, ExecutionTime: 10_000, QueueLimit: 3, LoadTime: 20_000, MaxConcurrentLoads: 2, DedupWindow: 1_000_000,
		OverloadWindow: 1_000_000, OverloadRate: 1000}
	change(&config)
	s.store = NewStore(s.clock, 5_000, 1)
	s.Server = New(config, s.clock, s.store, func(r invariant.Record) { s.log = append(s.log, r) })
	s.Start(FullCapacity)
	return s
}

func (s *testServer) respond(r Response) { s.responses = append(s.responses, r) }

func (s *testServer) infer(function, key string) {
	s.Infer(Request{ID: "j", Function: function, IdempotencyKey: key}, s.respond)
}

func (s *testServer) results() (results []Result) {
	for _, r := range s.responses {
		results = append(results, r.Result)
	}
	return results
}

// A retry that comes while the first execution waits ends with it; if that one is rejected, so is the retry: nothing ran.
func TestRetriesEndAsTheirFirst(t *testing.T) {
	s := newTestServer(func(c *Config) { c.QueueLimit = 1 })
	s.infer("a", "x")
	s.infer("a", "x")
	s.infer("a", "y") // no room to wait
	s.infer("a", "y") // no longer known: rejected on its own account
	if s.clock.advanceTo(1_000_000); !slices.Equal(s.results(), []Result{Overloaded, Overloaded, Succeeded, Succeeded}) {
		t.Errorf("%v", s.responses)
	}
	began := 0
	for _, r := range s.log {
		if r.Kind == invariant.AttemptStarted {
			began++
		}
	}
	if began != 1 {
		t.Errorf("%d ran", began)
	}
}

// A store that closes in mid-fetch keeps loads waiting, in their order, until it opens; the load report counts them meanwhile.
func TestClosedStore(t *testing.T) {
	s := newTestServer(func(c *Config) { c.QueueLimit = 9 })
	s.store.Degrade(1, StoreClosed)
	s.infer("a", "")
	s.infer("b", "")
	s.clock.advanceTo(1_000_000)
	if r := s.LoadReport(); len(s.responses) > 0 || r.PendingLoads != 2 || r.PinnedMemory != 0.5 {
		t.Errorf("%v, %+v", s.responses, r)
	}
	s.store.Degrade(1, StoreOpen)
	if s.clock.advanceTo(1_026_000); len(s.responses) != 0 {
		t.Errorf("answered before its work was done: %v", s.responses)
	}
	if s.clock.advanceTo(2_000_000); !slices.Equal(s.results(), []Result{Succeeded, Succeeded}) || s.responses[0].CacheStatus != control.CacheMiss {
		t.Errorf("%v", s.responses)
	}
}

// A crash breaks what is open, in order, and nothing that was begun before it ends after it.
func TestCrashVoidsWhatWasBegun(t *testing.T) {
	s := newTestServer(func(*Config) {})
	s.infer("a", "")
	s.Load("b", 2, 0, s.respond)
	s.clock.advanceTo(3_000)
	s.Kill()
	s.Start(SlowStart)
	s.clock.advanceTo(1_000_000)
	if functions := s.Functions(); !slices.Equal(s.results(), []Result{ConnectionReset, ConnectionReset}) || len(functions) != 0 || s.loading != 0 {
		t.Errorf("%v, %v stand, %d loads", s.responses, functions, s.loading)
	}
}

// A load command for no replicas of a function that the server doesn't hold asks for nothing and is answered.
func TestLoadOfNoReplicas(t *testing.T) {
	s := newTestServer(func(*Config) {})
	s.Load("a", 0, 0, s.respond)
	if !slices.Equal(s.results(), []Result{Succeeded}) || s.responses[0].Replicas != 0 || len(s.Functions()) != 0 {
		t.Errorf("%+v, %v", s.responses, s.Functions())
	}
}
