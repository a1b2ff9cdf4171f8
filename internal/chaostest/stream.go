package chaostest

import (
	"context"
	"hollymast/internal/rest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// stream sends a steady stream of jobs to addresses in turn.
func runStream(ctx context.Context, load LoadTest, addresses []string) (LoadResult, error) {
	total := int64(float64(load.Rate) * load.Length.Seconds())
	var next, failed atomic.Int64
	var wg sync.WaitGroup
	var mu sync.Mutex
	all := hdrhistogram.New(1, 60_000_000, 3)
	tensors := strings.Repeat("1,", max(0, load.TensorBytes/2)) + "1"
	var firstErr error
	var connected sync.WaitGroup
	connected.Add(load.Connections)
	var begun time.Time
	start := make(chan struct{}) // closed once all are connected: what that costs is measured by itself
	for n := range load.Connections {
		wg.Add(1)
		go func() {
			defer wg.Done()
			h := hdrhistogram.New(1, 60_000_000, 3)
			c, err := rest.DialWith(ctx, addresses[n%len(addresses)], &rest.DefaultLimits, load.secure)
			connected.Done()
			<-start
			if err != nil {
				mu.Lock()
				firstErr = err
				mu.Unlock()
				return
			}
			defer func() { c.Close() }()
			for ctx.Err() == nil {
				i := next.Add(1) - 1
				if i >= total {
					break
				}
				due := begun.Add(time.Duration(float64(i) / float64(load.Rate) * float64(time.Second)))
				if d := time.Until(due); d > 0 {
					time.Sleep(d)
					due = time.Now() // a late waking is ours, not the path's
				}
				q := &rest.Request{Method: "POST", Target: "/v2/models/" + load.functionPrefix + "f" + strconv.FormatInt(i%int64(load.Functions), 10) + "/infer",
					Header: rest.Header{"Host": {"load"}, "Content-Type": {"application/json"}},
					Body:   []byte(`{"id":"1","parameters":{"timeout":10000000},"inputs":[{"name":"x","shape":[1],"datatype":"FP32","data":[` + tensors + `]}]}`)}
				p, _, err := c.Do(q, time.Now().Add(20*time.Second))
				if err != nil || p.Status != 200 {
					failed.Add(1)
				}
				if err != nil {
					c.Close()
					if c, err = rest.DialWith(ctx, addresses[n%len(addresses)], &rest.DefaultLimits, load.secure); err != nil {
						return
					}
					continue
				}
				h.RecordValue(max(1, time.Since(due).Microseconds()))
			}
			mu.Lock()
			all.Merge(h)
			mu.Unlock()
		}()
	}
	connected.Wait()
	begun = time.Now()
	close(start)
	wg.Wait()
	return LoadResult{Requests: all.TotalCount(), Failed: failed.Load(), P50: all.ValueAtQuantile(50), P99: all.ValueAtQuantile(99),
		P999: all.ValueAtQuantile(99.9), Throughput: float64(all.TotalCount()) / time.Since(begun).Seconds()}, firstErr
}
