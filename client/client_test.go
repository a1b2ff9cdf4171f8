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

// heard is a request as a pretend router heard it.
type heard struct {
	at      time.Time
	router  int
	mark    string
	attempt int
	timeout time.Duration
}

// routers are pretend ones that answer as they are told.
type routers struct {
	addrs []string
	mu    sync.Mutex
	log   []heard
	conns []map[net.Conn]bool
	made  [][]time.Time // connections
	wg    sync.WaitGroup
	ls    []net.Listener
}

// act is what a pretend router does with a request: nil breaks the connection.
type act func(h heard) *rest.Response

func begin(t testing.TB, n int, do act) *routers {
	t.Helper()
	r := &routers{conns: make([]map[net.Conn]bool, n), made: make([][]time.Time, n)}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		r.addrs, r.ls, r.conns[i] = append(r.addrs, l.Addr().String()), append(r.ls, l), map[net.Conn]bool{}
		r.wg.Go(func() {
			for {
				nc, err := l.Accept()
				if err != nil {
					return
				}
				r.mu.Lock()
				r.conns[i][nc] = true
				r.made[i] = append(r.made[i], time.Now())
				r.mu.Unlock()
				r.wg.Go(func() { r.serve(i, nc, do) })
			}
		})
	}
	t.Cleanup(r.stop)
	return r
}

func (r *routers) stop() {
	for i, l := range r.ls {
		l.Close()
		r.cut(i)
	}
	r.wg.Wait()
}

// cut breaks all connections to a router.
func (r *routers) cut(i int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for nc := range r.conns[i] {
		nc.(*net.TCPConn).SetLinger(0)
		nc.Close()
	}
	r.conns[i] = map[net.Conn]bool{}
}

func (r *routers) serve(i int, nc net.Conn, do act) {
	defer nc.Close()
	c := rest.NewConn(nc, &rest.DefaultLimits, nil)
	for {
		q, err := c.ReadRequest()
		if err != nil {
			return
		}
		h := heard{at: time.Now(), router: i, mark: q.Header.Get(kserve.RepeatMark)}
		h.attempt, _ = strconv.Atoi(q.Header.Get(kserve.AttemptHeader))
		ms, _ := strconv.Atoi(q.Header.Get(kserve.TimeoutHeader))
		h.timeout = time.Duration(ms) * time.Millisecond
		r.mu.Lock()
		r.log = append(r.log, h)
		r.mu.Unlock()
		p := do(h)
		if p == nil || c.WriteResponse(p) != nil {
			return
		}
	}
}

func well(heard) *rest.Response {
	return &rest.Response{Status: 200, Header: rest.Header{}, Body: []byte(`{"outputs":[]}`)}
}

func fault(status int, answer string, after time.Duration) *rest.Response {
	return &rest.Response{Status: status, Header: rest.Header{}, Body: kserve.Fault{Error: answer, Answer: answer, RetryAfter: after.Microseconds()}.Body()}
}

func made(t *testing.T, o Options) *Client {
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

// Ten thousand calls with faults by chance: each has one outcome, at its caller, within its time; every repeat is marked as one,
// carries the time that is left, and none does harm.
func TestTenThousandCalls(t *testing.T) {
	var mu sync.Mutex
	chance := rand.New(rand.NewPCG(1, 2))
	r := begin(t, 3, func(h heard) *rest.Response {
		mu.Lock()
		x := chance.IntN(100)
		mu.Unlock()
		switch {
		case x < 4:
			return nil // broken after the whole request came
		case x < 10:
			return fault(503, "pushed back", time.Millisecond)
		case x < 13:
			return fault(504, "killed", 0)
		case x < 14:
			return fault(400, "wrong", 0)
		case x < 15:
			time.Sleep(60 * time.Millisecond) // past some deadlines
		}
		return well(h)
	})
	var doneMu sync.Mutex
	done := 0
	c := made(t, Options{Routers: r.addrs, Hooks: Hooks{Done: func(string, int, time.Duration) { doneMu.Lock(); done++; doneMu.Unlock() }}})
	const calls, window = 10_000, 30 * time.Millisecond
	workloads := []Workload{{Effect: RunOnce}, {Effect: Restartable}, {Effect: Fingerprinted, Window: window}, {Effect: Fingerprinted, Window: window, Narrow: true}}
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
			_, err := c.Infer(ctx, Call{Model: "m", Body: body, Mark: strconv.Itoa(i), Workload: workloads[i%4]})
			kind := "finished"
			var failed *Failed
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
	seen := map[string][]heard{}
	for _, h := range r.log {
		seen[h.mark] = append(seen[h.mark], h)
	}
	repeats := 0
	for mark, hs := range seen {
		i, err := strconv.Atoi(mark)
		if err != nil {
			t.Fatalf("mark %q", mark)
		}
		for n, h := range hs {
			if h.at.After(asked[i].Add(patience[i] + time.Second)) {
				t.Errorf("call %s is sent %s after its deadline", mark, h.at.Sub(asked[i].Add(patience[i])))
			}
			if h.timeout > patience[i] {
				t.Errorf("call %s says that %s are left of %s", mark, h.timeout, patience[i])
			}
			if n > 0 && h.attempt < 2 {
				t.Errorf("a repeat of call %s is not marked", mark)
			}
		}
		repeats += len(hs) - 1
	}
	if repeats == 0 || repeats > calls/5 {
		t.Errorf("%d repeats", repeats)
	}
}

// What may have run is sent again only as its workload allows.
func TestRepeatsDoNoHarm(t *testing.T) {
	for name, c := range map[string]struct {
		w    Workload
		act  act
		want int
		kind Kind
	}{
		"run-once, broken":         {Workload{Effect: RunOnce}, func(heard) *rest.Response { return nil }, 1, Unknown},
		"run-once, killed":         {Workload{Effect: RunOnce}, func(heard) *rest.Response { return fault(504, "killed", 0) }, 1, Killed},
		"run-once, another's 502":  {Workload{Effect: RunOnce}, func(heard) *rest.Response { return fault(502, "", 0) }, 1, Killed},
		"run-once, pushed back":    {Workload{Effect: RunOnce}, func(heard) *rest.Response { return fault(503, "pushed back", time.Millisecond) }, 4, PushedBack},
		"restartable, broken":      {Workload{Effect: Restartable}, func(heard) *rest.Response { return nil }, 4, Unknown},
		"fingerprinted, narrow":    {Workload{Effect: Fingerprinted, Window: time.Minute, Narrow: true}, func(heard) *rest.Response { return nil }, 1, Unknown},
		"fingerprinted, too short": {Workload{Effect: Fingerprinted, Window: time.Millisecond}, func(heard) *rest.Response { return nil }, 1, Unknown},
		"wrong":                    {Workload{Effect: Restartable}, func(heard) *rest.Response { return fault(400, "", 0) }, 1, Wrong},
	} {
		r := begin(t, 2, c.act)
		lib := made(t, Options{Routers: r.addrs})
		_, err := lib.Infer(context.Background(), Call{Model: "m", Body: body, Workload: c.w})
		var failed *Failed
		if !errors.As(err, &failed) || failed.Kind != c.kind || failed.Tries != c.want {
			t.Errorf("%s: %v", name, err)
		}
		r.mu.Lock()
		for n, h := range r.log {
			if h.attempt != n+1 || h.mark != r.log[0].mark || h.mark == "" {
				t.Errorf("%s: try %d is marked %q and counted %d", name, n, h.mark, h.attempt)
			}
		}
		if len(r.log) != c.want {
			t.Errorf("%s: sent %d times, want %d", name, len(r.log), c.want)
		}
		r.mu.Unlock()
	}
}

// A caller that gives up is heard at the router: its connection ends at once.
func TestGivingUpReachesTheRouter(t *testing.T) {
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
	lib := made(t, Options{Routers: []string{l.Addr().String()}})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() {
		_, err := lib.Infer(ctx, Call{Model: "m", Body: body})
		ended <- err
	}()
	<-came
	cancel()
	var failed *Failed
	if err := <-ended; !errors.As(err, &failed) || failed.Kind != Unknown || !errors.Is(err, context.Canceled) {
		t.Errorf("%v", err)
	}
	<-left
}

// A router that loses all of its connections at once gets them back spread out, while others take the calls.
func TestReconnectsSpread(t *testing.T) {
	r := begin(t, 2, func(h heard) *rest.Response { time.Sleep(5 * time.Millisecond); return well(h) })
	lib := made(t, Options{Routers: r.addrs, Connections: 40})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	bad := make(chan string, 1000)
	for i := range 60 {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				if _, err := lib.Infer(context.Background(), Call{Model: "m", Body: body, Workload: Workload{Effect: Restartable}}); err != nil {
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
	before := len(r.made[0])
	r.mu.Unlock()
	r.cut(0)
	lost := time.Now()
	time.Sleep(2 * time.Second)
	cancel()
	wg.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	first := 0
	for _, at := range r.made[0][before:] {
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

// A try that gets its connection only after the call's patience is not sent, though late answers would still be read.
func TestNothingIsSentLate(t *testing.T) {
	r := begin(t, 1, func(h heard) *rest.Response { time.Sleep(150 * time.Millisecond); return well(h) })
	lib := made(t, Options{Routers: r.addrs, Connections: 1, Late: time.Second})
	first := make(chan error)
	go func() {
		_, err := lib.Infer(context.Background(), Call{Model: "m", Body: body})
		first <- err
	}()
	for sent := 0; sent == 0; time.Sleep(time.Millisecond) {
		r.mu.Lock()
		sent = len(r.log)
		r.mu.Unlock()
	}
	_, err := lib.Infer(context.Background(), Call{Model: "m", Body: body, Patience: 50 * time.Millisecond})
	var failed *Failed
	if !errors.As(err, &failed) || failed.Kind != Unreached {
		t.Errorf("got %v", err)
	}
	if err := <-first; err != nil {
		t.Error(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.log) != 1 {
		t.Errorf("%d requests were sent", len(r.log))
	}
}

// A slow try of a job that may run twice at once is hedged at another router, and the first answer counts.
func TestHedge(t *testing.T) {
	var mu sync.Mutex
	slow := false
	r := begin(t, 2, func(h heard) *rest.Response {
		mu.Lock()
		wait := slow && h.attempt == 1
		mu.Unlock()
		if wait {
			time.Sleep(500 * time.Millisecond)
		}
		return well(h)
	})
	lib := made(t, Options{Routers: r.addrs})
	call := Call{Model: "m", Body: body, Workload: Workload{Effect: Restartable, Hedge: true}}
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
	if err != nil || a.Tries != 2 || time.Since(begun) > 400*time.Millisecond {
		t.Errorf("%+v, %v, %s", a, err, time.Since(begun))
	}
}

// What the library adds to a call over a plain connection to the same pretend router.
func BenchmarkInfer(b *testing.B) {
	r := begin(b, 1, well)
	b.Run("plain", func(b *testing.B) {
		x, err := rest.Dial(context.Background(), r.addrs[0], &rest.DefaultLimits)
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
		c, err := New(Options{Routers: []string{r.addrs[0]}})
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
