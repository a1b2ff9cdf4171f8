package modelserver

import (
	"slices"
	"testing"

	"hollymast/control"
	"hollymast/internal/invariant"
)

// manualClock is a clock that the test advances.
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

// advanceTo moves the clock and runs the timers that are due, in order.
func (c *manualClock) advanceTo(t control.Micros) {
	for {
		next := -1
		for i, candidate := range c.timers {
			if candidate.at <= t && (next < 0 || candidate.at < c.timers[next].at) {
				next = i
			}
		}
		if next < 0 {
			c.now = t
			return
		}
		due := c.timers[next]
		c.timers = slices.Delete(c.timers, next, next+1)
		c.now = due.at
		due.f()
	}
}

// testServer is a server with its own clock and store; it collects what the server logs and answers.
type testServer struct {
	*Server
	clock     *manualClock
	store     *Store
	log       []invariant.Record
	responses []Response
}

func newTestServer(configure func(*Config)) *testServer {
	s := &testServer{clock: &manualClock{now: 1}}
	config := Config{MaxReplicas: 4, Lanes: 1, Cores: 1, ExecutionTime: 10_000, QueueLimit: 3, LoadTime: 20_000, MaxConcurrentLoads: 2, DedupWindow: 1_000_000,
		OverloadWindow: 1_000_000, OverloadRate: 1000}
	configure(&config)
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

// A duplicate that arrives while the original request waits gets the original's result. If the original is rejected, so is the
// duplicate, since nothing ran.
func TestDuplicatesGetOriginalResult(t *testing.T) {
	s := newTestServer(func(c *Config) { c.QueueLimit = 1 })
	s.infer("a", "x")
	s.infer("a", "x")
	s.infer("a", "y") // rejected: the queue is full
	s.infer("a", "y") // its key was forgotten, so it is rejected as a request of its own
	if s.clock.advanceTo(1_000_000); !slices.Equal(s.results(), []Result{Overloaded, Overloaded, Succeeded, Succeeded}) {
		t.Errorf("want two rejections and then two successes: got %v", s.responses)
	}
	started := 0
	for _, r := range s.log {
		if r.Kind == invariant.AttemptStarted {
			started++
		}
	}
	if started != 1 {
		t.Errorf("%d requests ran, want 1", started)
	}
}

// While the store is closed, loads stay pending, in order, until it opens. The load report counts them meanwhile.
func TestClosedStore(t *testing.T) {
	s := newTestServer(func(c *Config) { c.QueueLimit = 9 })
	s.store.Degrade(1, StoreClosed)
	s.infer("a", "")
	s.infer("b", "")
	s.clock.advanceTo(1_000_000)
	if r := s.LoadReport(); len(s.responses) > 0 || r.PendingLoads != 2 || r.PinnedMemory != 0.5 {
		t.Errorf("responses %v, load report %+v", s.responses, r)
	}
	s.store.Degrade(1, StoreOpen)
	if s.clock.advanceTo(1_026_000); len(s.responses) != 0 {
		t.Errorf("responses before the executions ended: %v", s.responses)
	}
	if s.clock.advanceTo(2_000_000); !slices.Equal(s.results(), []Result{Succeeded, Succeeded}) || s.responses[0].CacheStatus != control.CacheMiss {
		t.Errorf("want two successes, the first with a cache miss: got %v", s.responses)
	}
}

// A crash resets all open exchanges, in order. Nothing that was started before the crash completes after it.
func TestCrashDiscardsStartedWork(t *testing.T) {
	s := newTestServer(func(*Config) {})
	s.infer("a", "")
	s.Load("b", 2, 0, s.respond)
	s.clock.advanceTo(3_000)
	s.Kill()
	s.Start(SlowStart)
	s.clock.advanceTo(1_000_000)
	if functions := s.Functions(); !slices.Equal(s.results(), []Result{ConnectionReset, ConnectionReset}) || len(functions) != 0 || s.pendingLoads != 0 {
		t.Errorf("responses %v, functions %v, %d pending loads", s.responses, functions, s.pendingLoads)
	}
}

// A load command for zero replicas of a function that the server does not hold is answered and loads nothing.
func TestLoadOfNoReplicas(t *testing.T) {
	s := newTestServer(func(*Config) {})
	s.Load("a", 0, 0, s.respond)
	if !slices.Equal(s.results(), []Result{Succeeded}) || s.responses[0].Replicas != 0 || len(s.Functions()) != 0 {
		t.Errorf("responses %+v, functions %v", s.responses, s.Functions())
	}
}
