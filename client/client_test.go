package client

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"hollymast/internal/rest"
	"hollymast/kserve"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// receivedRequest is a request as a fake router received it.
type receivedRequest struct {
	receivedAt time.Time
	router     int
	key        string
	attempt    int
	timeout    time.Duration
}

// fakeRouters answer as a handler says, and record what they received.
type fakeRouters struct {
	addresses   []string
	mu          sync.Mutex
	requests    []receivedRequest
	conns       []map[net.Conn]bool
	connectedAt [][]time.Time // connections
	wg          sync.WaitGroup
	listeners   []net.Listener
}

// handler returns a fake router's answer to a request; nil breaks the connection.
type handler func(h receivedRequest) *rest.Response

func startRouters(t testing.TB, n int, handle handler) *fakeRouters {
	t.Helper()
	r := &fakeRouters{conns: make([]map[net.Conn]bool, n), connectedAt: make([][]time.Time, n)}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		r.addresses, r.listeners, r.conns[i] = append(r.addresses, l.Addr().String()), append(r.listeners, l), map[net.Conn]bool{}
		r.wg.Go(func() {
			for {
				nc, err := l.Accept()
				if err != nil {
					return
				}
				r.mu.Lock()
				r.conns[i][nc] = true
				r.connectedAt[i] = append(r.connectedAt[i], time.Now())
				r.mu.Unlock()
				r.wg.Go(func() { r.serve(i, nc, handle) })
			}
		})
	}
	t.Cleanup(r.stop)
	return r
}

func (r *fakeRouters) stop() {
	for i, l := range r.listeners {
		l.Close()
		r.breakConnections(i)
	}
	r.wg.Wait()
}

// breakConnections resets all connections to a router.
func (r *fakeRouters) breakConnections(i int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for nc := range r.conns[i] {
		nc.(*net.TCPConn).SetLinger(0)
		nc.Close()
	}
	r.conns[i] = map[net.Conn]bool{}
}

func (r *fakeRouters) serve(i int, nc net.Conn, handle handler) {
	defer nc.Close()
	c := rest.NewConn(nc, &rest.DefaultLimits, nil)
	for {
		q, err := c.ReadRequest()
		if err != nil {
			return
		}
		h := receivedRequest{receivedAt: time.Now(), router: i, key: q.Header.Get(kserve.IdempotencyKeyHeader)}
		h.attempt, _ = strconv.Atoi(q.Header.Get(kserve.AttemptHeader))
		ms, _ := strconv.Atoi(q.Header.Get(kserve.TimeoutHeader))
		h.timeout = time.Duration(ms) * time.Millisecond
		r.mu.Lock()
		r.requests = append(r.requests, h)
		r.mu.Unlock()
		p := handle(h)
		if p == nil || c.WriteResponse(p) != nil {
			return
		}
	}
}

func succeed(receivedRequest) *rest.Response {
	return &rest.Response{Status: 200, Header: rest.Header{}, Body: []byte(`{"outputs":[]}`)}
}

func failWith(status int, answer string, after time.Duration) *rest.Response {
	return &rest.Response{Status: status, Header: rest.Header{}, Body: kserve.ErrorBody{Error: answer, Outcome: answer, RetryAfter: after.Microseconds()}.JSON()}
}

func newClient(t *testing.T, o Options) *Client {
	t.Helper()
	o.Seed = 7
	c, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

var body = []byte(`{"inputs":[]}`)

// Ten thousand calls with random faults: each has one outcome, at its caller, within its time; every retry is marked as one and
// carries the time that is left, and none does harm.
func TestTenThousandCalls(t *testing.T) {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(1, 2))
	r := startRouters(t, 3, func(h receivedRequest) *rest.Response {
		mu.Lock()
		x := random.IntN(100)
		mu.Unlock()
		switch {
		case x < 4:
			return nil // broken after the whole request came
		case x < 10:
			return failWith(503, "pushed back", time.Millisecond)
		case x < 13:
			return failWith(504, "killed", 0)
		case x < 14:
			return failWith(400, "wrong", 0)
		case x < 15:
			time.Sleep(60 * time.Millisecond) // past some deadlines
		}
		return succeed(h)
	})
	var doneMu sync.Mutex
	done := 0
	c := newClient(t, Options{Routers: r.addresses, Hooks: Hooks{CallEnded: func(string, int, time.Duration) { doneMu.Lock(); done++; doneMu.Unlock() }}})
	const calls, window = 10_000, 30 * time.Millisecond
	workloads := []Workload{{Effect: NonIdempotent}, {Effect: Idempotent}, {Effect: IdempotentByKey, KeyWindow: window}, {Effect: IdempotentByKey, KeyWindow: window, PartialKeyScope: true}}
	kinds := map[string]int{}
	asked := make([]time.Time, calls)
	patience := make([]time.Duration, calls)
	places := make(chan bool, 100)
	var wg sync.WaitGroup
	for i := range calls {
		places <- true
		wg.Go(func() {
			defer func() { <-places }()
			patience[i] = time.Duration(50+i%100) * time.Millisecond
			ctx, cancel := context.WithTimeout(context.Background(), patience[i])
			defer cancel()
			asked[i] = time.Now()
			_, err := c.Infer(ctx, Call{Model: "m", Body: body, IdempotencyKey: strconv.Itoa(i), Workload: workloads[i%4]})
			kind := "finished"
			var failed *CallError
			if errors.As(err, &failed) {
				kind = string(failed.Kind)
			} else if err != nil {
				t.Errorf("call %d: %v", i, err)
			}
			if late := time.Since(asked[i]) - patience[i]; late > time.Second {
				t.Errorf("call %d had its outcome %s after its deadline", i, late)
			}
			doneMu.Lock()
			kinds[kind]++
			doneMu.Unlock()
		})
	}
	wg.Wait()
	if done != calls || kinds["finished"] < calls/2 {
		t.Errorf("%d outcomes: %v", done, kinds)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := map[string][]receivedRequest{}
	for _, h := range r.requests {
		seen[h.key] = append(seen[h.key], h)
	}
	retries := 0
	for mark, hs := range seen {
		i, err := strconv.Atoi(mark)
		if err != nil {
			t.Fatalf("mark %q", mark)
		}
		for n, h := range hs {
			if h.receivedAt.After(asked[i].Add(patience[i] + time.Second)) {
				t.Errorf("call %s is sent %s after its deadline", mark, h.receivedAt.Sub(asked[i].Add(patience[i])))
			}
			if h.timeout > patience[i] {
				t.Errorf("call %s says that %s are left of %s", mark, h.timeout, patience[i])
			}
			if n > 0 && h.attempt < 2 {
				t.Errorf("a retry of call %s is not marked", mark)
			}
		}
		retries += len(hs) - 1
	}
	if retries == 0 || retries > calls/5 {
		t.Errorf("%d retries", retries)
	}
}

// What may have run is retried only as its workload allows.
func TestRetriesDoNoHarm(t *testing.T) {
	for name, c := range map[string]struct {
		w      Workload
		handle handler
		want   int
		kind   FailureKind
	}{
		"run-once, broken":         {Workload{Effect: NonIdempotent}, func(receivedRequest) *rest.Response { return nil }, 1, OutcomeUnknown},
		"run-once, killed":         {Workload{Effect: NonIdempotent}, func(receivedRequest) *rest.Response { return failWith(504, "killed", 0) }, 1, RequestFailed},
		"run-once, another's 502":  {Workload{Effect: NonIdempotent}, func(receivedRequest) *rest.Response { return failWith(502, "", 0) }, 1, RequestFailed},
		"run-once, pushed back":    {Workload{Effect: NonIdempotent}, func(receivedRequest) *rest.Response { return failWith(503, "pushed back", time.Millisecond) }, 4, Rejected},
		"restartable, broken":      {Workload{Effect: Idempotent}, func(receivedRequest) *rest.Response { return nil }, 4, OutcomeUnknown},
		"fingerprinted, narrow":    {Workload{Effect: IdempotentByKey, KeyWindow: time.Minute, PartialKeyScope: true}, func(receivedRequest) *rest.Response { return nil }, 1, OutcomeUnknown},
		"fingerprinted, too short": {Workload{Effect: IdempotentByKey, KeyWindow: time.Millisecond}, func(receivedRequest) *rest.Response { return nil }, 1, OutcomeUnknown},
		"wrong":                    {Workload{Effect: Idempotent}, func(receivedRequest) *rest.Response { return failWith(400, "", 0) }, 1, InvalidRequest},
	} {
		r := startRouters(t, 2, c.handle)
		lib := newClient(t, Options{Routers: r.addresses})
		_, err := lib.Infer(context.Background(), Call{Model: "m", Body: body, Workload: c.w})
		var failed *CallError
		if !errors.As(err, &failed) || failed.Kind != c.kind || failed.Attempts != c.want {
			t.Errorf("%s: %v", name, err)
		}
		r.mu.Lock()
		for n, h := range r.requests {
			if h.attempt != n+1 || h.key != r.requests[0].key || h.key == "" {
				t.Errorf("%s: attempt %d has key %q and count %d", name, n, h.key, h.attempt)
			}
		}
		if len(r.requests) != c.want {
			t.Errorf("%s: sent %d times, want %d", name, len(r.requests), c.want)
		}
		r.mu.Unlock()
	}
}

// The router learns at once of a caller that gives up: the connection ends.
func TestCancellationReachesRouter(t *testing.T) {
	came, left := make(chan bool), make(chan bool)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		c := rest.NewConn(nc, &rest.DefaultLimits, nil)
		c.ReadRequest()
		gone, stop := c.WatchClose()
		close(came)
		<-gone
		stop()
		close(left)
	}()
	lib := newClient(t, Options{Routers: []string{l.Addr().String()}})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() {
		_, err := lib.Infer(ctx, Call{Model: "m", Body: body})
		ended <- err
	}()
	<-came
	cancel()
	var failed *CallError
	if err := <-ended; !errors.As(err, &failed) || failed.Kind != OutcomeUnknown || !errors.Is(err, context.Canceled) {
		t.Errorf("%v", err)
	}
	<-left
}

// A router that loses all of its connections at once gets them back spread out, while others take the calls.
func TestReconnectsSpread(t *testing.T) {
	r := startRouters(t, 2, func(h receivedRequest) *rest.Response { time.Sleep(5 * time.Millisecond); return succeed(h) })
	lib := newClient(t, Options{Routers: r.addresses, Connections: 40})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	bad := make(chan string, 1000)
	for i := range 60 {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				if _, err := lib.Infer(context.Background(), Call{Model: "m", Body: body, Workload: Workload{Effect: Idempotent}}); err != nil {
					select {
					case bad <- fmt.Sprintf("%d: %v", i, err):
					default:
					}
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	r.mu.Lock()
	before := len(r.connectedAt[0])
	r.mu.Unlock()
	r.breakConnections(0)
	lost := time.Now()
	time.Sleep(2 * time.Second)
	cancel()
	wg.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	first := 0
	for _, at := range r.connectedAt[0][before:] {
		if at.Sub(lost) < 500*time.Millisecond {
			first++
		}
	}
	if before < 15 || first > before/3 {
		t.Errorf("%d connections, of which %d came back within half a second", before, first)
	}
	if len(bad) > 40 { // what was on the lost connections, beyond what the budget lets be tried again
		t.Errorf("%d calls failed, as %s", len(bad), <-bad)
	}
}

// An attempt that gets its connection only after the call's deadline is not sent, though late answers would still be read.
func TestNothingIsSentLate(t *testing.T) {
	r := startRouters(t, 1, func(h receivedRequest) *rest.Response { time.Sleep(150 * time.Millisecond); return succeed(h) })
	lib := newClient(t, Options{Routers: r.addresses, Connections: 1, LateResponseTimeout: time.Second})
	first := make(chan error)
	go func() {
		_, err := lib.Infer(context.Background(), Call{Model: "m", Body: body})
		first <- err
	}()
	for sent := 0; sent == 0; time.Sleep(time.Millisecond) {
		r.mu.Lock()
		sent = len(r.requests)
		r.mu.Unlock()
	}
	_, err := lib.Infer(context.Background(), Call{Model: "m", Body: body, Timeout: 50 * time.Millisecond})
	var failed *CallError
	if !errors.As(err, &failed) || failed.Kind != NotSent {
		t.Errorf("got %v", err)
	}
	if err := <-first; err != nil {
		t.Error(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.requests) != 1 {
		t.Errorf("%d requests were sent", len(r.requests))
	}
}

// A slow attempt of a request that may run twice at once is hedged at another router, and the first answer counts.
func TestHedge(t *testing.T) {
	var mu sync.Mutex
	slow := false
	r := startRouters(t, 2, func(h receivedRequest) *rest.Response {
		mu.Lock()
		wait := slow && h.attempt == 1
		mu.Unlock()
		if wait {
			time.Sleep(500 * time.Millisecond)
		}
		return succeed(h)
	})
	lib := newClient(t, Options{Routers: r.addresses})
	call := Call{Model: "m", Body: body, Workload: Workload{Effect: Idempotent, Hedge: true}}
	for range 30 {
		if _, err := lib.Infer(context.Background(), call); err != nil {
			t.Fatal(err)
		}
	}
	mu.Lock()
	slow = true
	mu.Unlock()
	begun := time.Now()
	a, err := lib.Infer(context.Background(), call)
	if err != nil || a.Attempts != 2 || time.Since(begun) > 400*time.Millisecond {
		t.Errorf("%+v, %v, %s", a, err, time.Since(begun))
	}
}

// BenchmarkInfer shows what the client adds to a call over a plain connection to the same fake router.
func BenchmarkInfer(b *testing.B) {
	r := startRouters(b, 1, succeed)
	b.Run("plain", func(b *testing.B) {
		x, err := rest.Dial(context.Background(), r.addresses[0], &rest.DefaultLimits)
		if err != nil {
			b.Fatal(err)
		}
		defer x.Close()
		for b.Loop() {
			if _, _, err := x.Do(&rest.Request{Method: "POST", Target: "/v2/models/m/infer", Header: rest.Header{"Host": {"x"}}, Body: body}, time.Now().Add(time.Second)); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("library", func(b *testing.B) {
		c, err := New(Options{Routers: []string{r.addresses[0]}})
		if err != nil {
			b.Fatal(err)
		}
		defer c.Close()
		for b.Loop() {
			if _, err := c.Infer(context.Background(), Call{Model: "m", Body: body}); err != nil {
				b.Fatal(err)
			}
		}
	})
}
