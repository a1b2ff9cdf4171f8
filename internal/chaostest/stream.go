package chaostest

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hollymast/internal/rest"
)

// Latencies are recorded from one microsecond to a minute, with three significant digits.
const (
	maxLatency    = 60_000_000 // microseconds
	latencyDigits = 3
)

// streamTimeout is how long a client waits for a response: longer than the request's own timeout.
const streamTimeout = 20 * time.Second

// stream is a steady stream of requests in progress. Its connections share it: each takes the next request that is due.
type stream struct {
	test      LoadTest
	addresses []string // connections are distributed over them in turn
	body      []byte   // of each request
	total     int64    // requests
	ready     sync.WaitGroup
	start     chan struct{} // closed once all connections are open, so that opening them isn't measured
	startedAt time.Time     // set before start is closed
	next      atomic.Int64  // number of the next request
	failed    atomic.Int64

	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
	err       error // of a connection that couldn't be opened
}

// runStream sends the stream of a test and returns the result.
func runStream(ctx context.Context, test LoadTest, addresses []string) (LoadResult, error) {
	tensors := strings.Repeat("1,", max(0, test.TensorBytes/2)) + "1"
	s := &stream{test: test, addresses: addresses, total: int64(float64(test.Rate) * test.Length.Seconds()), start: make(chan struct{}), latencies: newHistogram(),
		body: []byte(`{"id":"1","parameters":{"timeout":10000000},"inputs":[{"name":"x","shape":[1],"datatype":"FP32","data":[` + tensors + `]}]}`)}
	var wg sync.WaitGroup
	s.ready.Add(test.Connections)
	for n := range test.Connections {
		wg.Go(func() { s.runConnection(ctx, addresses[n%len(addresses)]) })
	}
	s.ready.Wait()
	s.startedAt = time.Now()
	close(s.start)
	wg.Wait()
	requests := s.latencies.TotalCount()
	return LoadResult{Requests: requests, Failed: s.failed.Load(), P50: s.latencies.ValueAtQuantile(50), P99: s.latencies.ValueAtQuantile(99),
		P999: s.latencies.ValueAtQuantile(99.9), Throughput: float64(requests) / time.Since(s.startedAt).Seconds()}, s.err
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency, latencyDigits) }

// runConnection sends requests over one connection at a time until all are sent. It opens another one after an error.
func (s *stream) runConnection(ctx context.Context, address string) {
	c, err := rest.DialWithHandshake(ctx, address, &rest.DefaultLimits, s.test.handshake)
	s.ready.Done()
	<-s.start
	if err != nil {
		s.mu.Lock()
		s.err = err
		s.mu.Unlock()
		return
	}
	defer func() { c.Close() }()
	latencies := newHistogram()
	for ctx.Err() == nil {
		n := s.next.Add(1) - 1
		if n >= s.total {
			break
		}
		due := s.awaitDue(n)
		res, _, err := c.Do(s.request(n), time.Now().Add(streamTimeout))
		if err != nil || res.Status != http.StatusOK {
			s.failed.Add(1)
		}
		if err == nil {
			latencies.RecordValue(max(1, time.Since(due).Microseconds()))
			continue
		}
		c.Close()
		replacement, err := rest.DialWithHandshake(ctx, address, &rest.DefaultLimits, s.test.handshake)
		if err != nil {
			return
		}
		c = replacement
	}
	s.mu.Lock()
	s.latencies.Merge(latencies)
	s.mu.Unlock()
}

// awaitDue waits until a request is due, and returns the time from which its latency counts. A late wake-up of this process isn't
// counted as latency.
func (s *stream) awaitDue(n int64) time.Time {
	due := s.startedAt.Add(time.Duration(float64(n) / float64(s.test.Rate) * float64(time.Second)))
	if d := time.Until(due); d > 0 {
		time.Sleep(d)
		return time.Now()
	}
	return due
}

func (s *stream) request(n int64) *rest.Request {
	function := s.test.functionPrefix + "f" + strconv.FormatInt(n%int64(s.test.Functions), 10)
	return &rest.Request{Method: http.MethodPost, Target: "/v2/models/" + function + "/infer",
		Header: rest.Header{"Host": {"load"}, "Content-Type": {"application/json"}}, Body: s.body}
}
