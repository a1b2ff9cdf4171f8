package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const orderWorkloads = `
[workload order]
start_target = 4s
time_limit = 8s
effect = run-once
[function *]
workload = order
lanes = 4
`

// answer is what a client was answered.
type answer struct {
	err    error
	status int
	Answer string `json:"answer"`
	Pause  int64  `json:"retry_after_us"`
	text   string
}

func (a answer) String() string {
	if a.err != nil {
		return a.err.Error()
	}
	return fmt.Sprintf("%d %s", a.status, a.text)
}

// stopping: a trial, no case. A run-once call has run at a worker that answers slowly, and its client has given the try up. The client asks the same router
// again, with the key. The router, which is being restarted as planned, pushes the call back, which says that trying again is harmless. So the
// client goes to another router, where the call runs a second time.
func stopping(s *scene) bool {
	ran := &ledger{scene: s}
	var workers []listedWorker
	for i := range 3 {
		w := startWorker(&worker{name: fmt.Sprintf("worker-%d", i), scene: s, ledger: ran, loadTime: 200 * time.Millisecond,
			workTime: 100 * time.Millisecond, slow: func(key string) time.Duration {
				if key == "order-key-1" {
					return 6 * time.Second
				}
				return 0
			}}, "")
		defer w.stop()
		workers = append(workers, listedWorker{w.address(), "c1", s.began.Add(-time.Hour)})
	}
	list := s.endpointList(workers...)
	var routers []*gateway
	for number := range 2 {
		routers = append(routers, s.startGateway(gatewaySettings{number: number, routers: 2, workloads: orderWorkloads}, list, nil))
	}
	time.Sleep(1100 * time.Millisecond)
	pool := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	// Ordinary calls, after which the client holds two open connections to the first router.
	done := make(chan answer, 2)
	for i := range 2 {
		go func() {
			done <- s.call(pool, routers[0].listen, "order-1", fmt.Sprintf("order-key-warm-%d", i), 1, 5*time.Second)
		}()
	}
	for range 2 {
		s.note("an ordinary call: %v", <-done)
	}
	const key, patience = "order-key-1", 4 * time.Second // half of the time limit
	s.note("try 1, at router 0")
	a := s.call(pool, routers[0].listen, "order-1", key, 1, patience)
	s.note("try 1: %v", a)
	if s.trouble {
		check(routers[0].cmd.Process.Signal(syscall.SIGTERM))
		s.note("SIGTERM to router 0")
	}
	time.Sleep(100 * time.Millisecond)
	s.note("try 2, with the key, at router 0")
	a = s.call(pool, routers[0].listen, "order-1", key, 2, patience)
	s.note("try 2: %v", a)
	if a.err == nil && a.status == 503 && a.Answer == "pushed back" { // a retry does no harm, says the router
		time.Sleep(time.Duration(a.Pause) * time.Microsecond)
		s.note("try 3, with the key, at router 1")
		a = s.call(pool, routers[1].listen, "order-1", key, 3, 3*time.Second)
		s.note("try 3: %v", a)
	}
	time.Sleep(time.Second)
	runs := ran.byKey()[key]
	s.note("%s ran %d times: %s", key, len(runs), times(runs))
	return len(runs) < 2
}

// call sends a call with its key, and gives the try up after a while.
func (s *scene) call(pool *http.Client, router, model, key string, try int, patience time.Duration) (a answer) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+router+"/v2/models/"+model+"/infer", strings.NewReader(`{"inputs":[]}`))
	check(err)
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("X-Envoy-Attempt-Count", fmt.Sprint(try))
	req.GetBody = nil // the transport must not send it again by itself
	resp, err := pool.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	a.status, a.text = resp.StatusCode, string(body)
	json.Unmarshal(body, &a)
	return a
}
