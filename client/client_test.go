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

// receivedRequest describes a request that a fake router received.
type receivedRequest struct {
	receivedAt time.Time
	router     int
	key        string
	attempt    int
	timeout    time.Duration
}

// fakeRouters respond with the result of a handler and record the requests that they receive.
type fakeRouters struct {
	addresses   []string
	mu          sync.Mutex
	requests    []receivedRequest
	conns       []map[net.Conn]bool
	connectedAt [][]time.Time // times of connections, by router
	wg          sync.WaitGroup
	listeners   []net.Listener
}

// handler returns a fake router's response to a request; nil breaks the connection.
type handler func(received receivedRequest) *rest.Response

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
		request, err := c.ReadRequest()
		if err != nil {
			return
		}
		received := receivedRequest{receivedAt: time.Now(), router: i, key: request.Header.Get(kserve.IdempotencyKeyHeader)}
		received.attempt, _ = strconv.Atoi(request.Header.Get(kserve.AttemptHeader))
		ms, _ := strconv.Atoi(request.Header.Get(kserve.TimeoutHeader))
		received.timeout = time.Duration(ms) * time.Millisecond
		r.mu.Lock()
		r.requests = append(r.requests, received)
		r.mu.Unlock()
		response := handle(received)
		if response == nil || c.WriteResponse(response) != nil {
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

// Makes ten thousand calls with random faults. Each call must return one outcome within its timeout. Every retry must carry
// an attempt count above 1 and no more than the call's timeout, and must not be sent long after the deadline.
func TestTenThousandCalls(t *testing.T) {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(1, 2))
	r := startRouters(t, 3, func(received receivedRequest) *rest.Response {
		mu.Lock()
		percent := random.IntN(100)
		mu.Unlock()
		switch {
		case percent < 4:
			return nil // break the connection after the whole request was received
		case percent < 10:
			return failWith(503, "pushed back", time.Millisecond)
		case percent < 13:
			return failWith(504, "killed", 0)
		case percent < 14:
			return failWith(400, "wrong", 0)
		case percent < 15:
			time.Sleep(60 * time.Millisecond) // longer than some calls' timeouts
		}
		return succeed(received)
	})
	var doneMu sync.Mutex
	done := 0
	c := newClient(t, Options{Routers: r.addresses, Hooks: Hooks{CallEnded: func(string, int, time.Duration) { doneMu.Lock(); done++; doneMu.Unlock() }}})
	const calls, window = 10_000, 30 * time.Millisecond
	workloads := []Workload{{Effect: NonIdempotent}, {Effect: Idempotent}, {Effect: IdempotentByKey, KeyWindow: window}, {Effect: IdempotentByKey, KeyWindow: window, PartialKeyScope: true}}
	kinds := map[string]int{}
	startedAt := make([]time.Time, calls)
	timeouts := make([]time.Duration, calls)
	slots := make(chan bool, 100)
	var wg sync.WaitGroup
	for i := range calls {
		slots <- true
		wg.Go(func() {
			defer func() { <-slots }()
			timeouts[i] = time.Duration(50+i%100) * time.Millisecond
			ctx, cancel := context.WithTimeout(context.Background(), timeouts[i])
			defer cancel()
			startedAt[i] = time.Now()
			_, err := c.Infer(ctx, Call{Model: "m", Body: body, IdempotencyKey: strconv.Itoa(i), Workload: workloads[i%4]})
			kind := "finished"
			var failed *CallError
			if errors.As(err, &failed) {
				kind = string(failed.Kind)
			} else if err != nil {
				t.Errorf("call %d: %v", i, err)
			}
			if late := time.Since(startedAt[i]) - timeouts[i]; late > time.Second {
				t.Errorf("call %d ended %s after its deadline", i, late)
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
	byKey := map[string][]receivedRequest{}
	for _, received := range r.requests {
		byKey[received.key] = append(byKey[received.key], received)
	}
	retries := 0
	for key, requests := range byKey {
		i, err := strconv.Atoi(key)
		if err != nil {
			t.Fatalf("unknown idempotency key %q", key)
		}
		for n, received := range requests {
			if received.receivedAt.After(startedAt[i].Add(timeouts[i] + time.Second)) {
				t.Errorf("call %s was sent %s after its deadline", key, received.receivedAt.Sub(startedAt[i].Add(timeouts[i])))
			}
			if received.timeout > timeouts[i] {
				t.Errorf("call %s was sent with a timeout of %s, more than its own of %s", key, received.timeout, timeouts[i])
			}
			if n > 0 && received.attempt < 2 {
				t.Errorf("a retry of call %s has no attempt count above 1", key)
			}
		}
		retries += len(requests) - 1
	}
	if retries == 0 || retries > calls/5 {
		t.Errorf("%d retries", retries)
	}
}

// A request that may have run is retried only if its workload allows that.
func TestRetriesDoNoHarm(t *testing.T) {
	for name, c := range map[string]struct {
		w        Workload
		handle   handler
		attempts int
		kind     FailureKind
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
		if !errors.As(err, &failed) || failed.Kind != c.kind || failed.Attempts != c.attempts {
			t.Errorf("%s: %v", name, err)
		}
		r.mu.Lock()
		for n, received := range r.requests {
			if received.attempt != n+1 || received.key != r.requests[0].key || received.key == "" {
				t.Errorf("%s: attempt %d has key %q and attempt count %d", name, n, received.key, received.attempt)
			}
		}
		if len(r.requests) != c.attempts {
			t.Errorf("%s: sent %d times, want %d", name, len(r.requests), c.attempts)
		}
		r.mu.Unlock()
	}
}

// If the caller gives up, the client closes the connection at once, so that the router learns of it.
func TestCancellationReachesRouter(t *testing.T) {
	received, disconnected := make(chan bool), make(chan bool)
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
		close(received)
		<-gone
		stop()
		close(disconnected)
	}()
	lib := newClient(t, Options{Routers: []string{l.Addr().String()}})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() {
		_, err := lib.Infer(ctx, Call{Model: "m", Body: body})
		ended <- err
	}()
	<-received
	cancel()
	var failed *CallError
	if err := <-ended; !errors.As(err, &failed) || failed.Kind != OutcomeUnknown || !errors.Is(err, context.Canceled) {
		t.Errorf("%v", err)
	}
	<-disconnected
}

// After a router loses all of its connections at once, the client spreads its reconnects over time and sends the calls to
// other routers.
func TestReconnectsSpread(t *testing.T) {
	r := startRouters(t, 2, func(received receivedRequest) *rest.Response {
		time.Sleep(5 * time.Millisecond)
		return succeed(received)
	})
	lib := newClient(t, Options{Routers: r.addresses, Connections: 40})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	failures := make(chan string, 1000)
	for i := range 60 {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				if _, err := lib.Infer(context.Background(), Call{Model: "m", Body: body, Workload: Workload{Effect: Idempotent}}); err != nil {
					select {
					case failures <- fmt.Sprintf("%d: %v", i, err):
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
	lostAt := time.Now()
	time.Sleep(2 * time.Second)
	cancel()
	wg.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	early := 0
	for _, at := range r.connectedAt[0][before:] {
		if at.Sub(lostAt) < 500*time.Millisecond {
			early++
		}
	}
	if before < 15 || early > before/3 {
		t.Errorf("%d connections, %d reconnects within half a second", before, early)
	}
	if len(failures) > 40 { // calls on the lost connections that the retry budget does not allow to be retried
		t.Errorf("%d calls failed, for example %s", len(failures), <-failures)
	}
}

// An attempt that gets a connection only after the call's deadline is not sent, even if late responses would still be read.
func TestNothingIsSentLate(t *testing.T) {
	r := startRouters(t, 1, func(received receivedRequest) *rest.Response {
		time.Sleep(150 * time.Millisecond)
		return succeed(received)
	})
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

// If concurrent attempts are allowed, a slow attempt is hedged with a second one at another router, and the first response
// is returned.
func TestHedge(t *testing.T) {
	var mu sync.Mutex
	slow := false
	r := startRouters(t, 2, func(received receivedRequest) *rest.Response {
		mu.Lock()
		wait := slow && received.attempt == 1
		mu.Unlock()
		if wait {
			time.Sleep(500 * time.Millisecond)
		}
		return succeed(received)
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
	startedAt := time.Now()
	response, err := lib.Infer(context.Background(), call)
	if err != nil || response.Attempts != 2 || time.Since(startedAt) > 400*time.Millisecond {
		t.Errorf("%+v, %v, %s", response, err, time.Since(startedAt))
	}
}

// BenchmarkInfer compares a call of the client library with an exchange over a plain connection to the same fake router.
func BenchmarkInfer(b *testing.B) {
	r := startRouters(b, 1, succeed)
	b.Run("plain", func(b *testing.B) {
		conn, err := rest.Dial(context.Background(), r.addresses[0], &rest.DefaultLimits)
		if err != nil {
			b.Fatal(err)
		}
		defer conn.Close()
		for b.Loop() {
			if _, _, err := conn.Do(&rest.Request{Method: "POST", Target: "/v2/models/m/infer", Header: rest.Header{"Host": {"x"}}, Body: body}, time.Now().Add(time.Second)); err != nil {
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
