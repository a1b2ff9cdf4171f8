package fakeserver

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"hollymast/internal/invariant"
	"hollymast/internal/platformtest"
	"hollymast/internal/rest"
	"hollymast/kserve"
)

func startServer(t *testing.T, mode StartMode, change func(*Config)) *Server {
	t.Helper()
	config := Config{MaxReplicas: 2, Lanes: 1, Cores: 4, ExecutionTime: 5 * time.Millisecond, QueueLimit: 8, LoadTime: 20 * time.Millisecond, MaxConcurrentLoads: 2,
		DedupWindow: time.Second, SlowStartDuration: time.Minute, SlowStartInitial: 0.25, OverloadWindow: time.Second, OverloadRate: 1000}
	change(&config)
	s := New(config, NewStore(time.Millisecond, 2), invariant.NewLog())
	if err := s.Start(mode); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s
}

// post sends one request; the status is 0 where the connection broke.
func post(t *testing.T, s *Server, target, key, body string) (int, string) {
	c, err := rest.Dial(context.Background(), s.Address(), &rest.DefaultLimits)
	if err != nil {
		return 0, ""
	}
	defer c.Close()
	p, _, err := c.Do(&rest.Request{Method: "POST", Target: target, Header: rest.Header{"Host": {"a"}, kserve.IdempotencyKeyHeader: {key}},
		Body: []byte(body)}, time.Now().Add(5*time.Second))
	if err != nil {
		return 0, ""
	}
	return p.Status, string(p.Body)
}

func infer(t *testing.T, s *Server, model, key string) (int, string) {
	status, body := post(t, s, "/v2/models/"+model+"/infer", key, `{"id":"x","inputs":[]}`)
	return status, gjson.Get(body, "parameters.found").Str
}

func countRecords(s *Server, k invariant.Kind) (n int) {
	for _, r := range s.log.Records() {
		if r.Kind == k {
			n++
		}
	}
	return n
}

func TestLoadsRetriesAndMemory(t *testing.T) {
	s := startServer(t, FullCapacity, func(*Config) {})
	for i, want := range []struct{ model, key, found string }{{"a", "1", "began"}, {"a", "2", "warm"}, {"a", "1", "warm"}, {"b", "3", "began"},
		{"c", "4", "began"}, {"a", "5", "began"}} { // two replicas fit: a was evicted
		if status, found := infer(t, s, want.model, want.key); status != 200 || found != want.found {
			t.Errorf("%d: got %d %q, want %q", i, status, found, want.found)
		}
	}
	if b, d := countRecords(s, invariant.AttemptStarted), countRecords(s, invariant.AttemptDeduplicated); b != 5 || d != 1 {
		t.Errorf("%d ran, %d dropped", b, d)
	}
}

// A replica that was used just now stays, and what would need its room is rejected.
func TestIdleReplicasAreKeptAlive(t *testing.T) {
	s := startServer(t, FullCapacity, func(c *Config) { c.KeepAlive = time.Minute })
	for i, c := range []struct {
		model  string
		status int
	}{{"a", 200}, {"b", 200}, {"c", 503}, {"a", 200}} {
		if status, _ := infer(t, s, c.model, fmt.Sprint(i)); status != c.status {
			t.Errorf("%d: got %d, want %d", i, status, c.status)
		}
	}
}

func TestFaults(t *testing.T) {
	s := startServer(t, FullCapacity, func(*Config) {})
	infer(t, s, "a", "0")
	for i, c := range []struct {
		f             Faults
		status, began int
	}{{Faults{ResetBefore: 1}, 0, 0}, {Faults{ResetAfter: 1}, 0, 1}, {Faults{Overloaded: true}, 503, 0}, {Faults{Slowdown: 3}, 200, 1}} {
		before := countRecords(s, invariant.AttemptStarted)
		s.SetFaults(c.f)
		if status, _ := infer(t, s, "a", fmt.Sprint("f", i)); status != c.status || countRecords(s, invariant.AttemptStarted)-before != c.began {
			t.Errorf("%+v: got %d, %d ran", c.f, status, countRecords(s, invariant.AttemptStarted)-before)
		}
	}
}

func TestServerInSlowStartCrashesWhenOverloaded(t *testing.T) {
	s := startServer(t, SlowStart, func(c *Config) { c.OverloadRate = 12 }) // 3 a second at its start
	for i := range 4 {
		infer(t, s, "a", fmt.Sprint(i))
	}
	if countRecords(s, invariant.ServerCollapsed) != 1 {
		t.Error("it did not crash")
	}
	if status, _ := infer(t, s, "a", "9"); status != 0 {
		t.Errorf("it answers %d after its crash", status)
	}
}

func TestLoadCommands(t *testing.T) {
	s := startServer(t, FullCapacity, func(c *Config) { c.LoadCommandsOnly = true })
	if status, _ := infer(t, s, "a", "1"); status != 404 {
		t.Errorf("missing: got %d", status)
	}
	for _, want := range []struct{ n, status, loaded int }{{1, 200, 1}, {2, 200, 2}, {1, 200, 2}, {3, 503, 0}} {
		status, body := post(t, s, "/v2/repository/models/a/load", "", string(kserve.LoadCommandBody(want.n)))
		if status != want.status || status == 200 && kserve.ParseReplicaCount([]byte(body)) != want.loaded {
			t.Errorf("%d replicas: got %d %s", want.n, status, body)
		}
	}
	if status, found := infer(t, s, "a", "2"); status != 200 || found != "warm" {
		t.Errorf("got %d %q", status, found)
	}
}

func TestStopBreaksConnectionsAndClearsState(t *testing.T) {
	s := startServer(t, FullCapacity, func(c *Config) { c.ExecutionTime = time.Minute })
	done := make(chan int)
	go func() {
		status, _ := infer(t, s, "a", "1")
		done <- status
	}()
	platformtest.WaitFor(t, "the request to run", func() bool { return countRecords(s, invariant.AttemptStarted) > 0 })
	s.Stop()
	if status := <-done; status != 0 {
		t.Errorf("got %d", status)
	}
	if err := s.Start(SlowStart); err != nil || string(s.index()) != "[]" {
		t.Errorf("%v, %s", err, s.index())
	}
}
