package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"hollymast/client"
	"hollymast/internal/fakeserver"
	"hollymast/internal/invariant"
)

// The client library calls the gateway while servers lose responses, reset connections and reject requests. Each call
// has one outcome within its deadline, its attempts are numbered and keep its key, none is sent after the deadline or
// the deduplication window, and no rule is violated.
func TestClientLibraryUnderFaults(t *testing.T) {
	tg := newTestGatewayWith(t, "[clients]\nanswer_margin = 100ms\nstay_away = 40ms\n", serverConfig(0), serverConfig(1), serverConfig(2))
	for i, s := range tg.servers {
		s.SetFaults(fakeserver.Faults{LostResponses: 0.02, ResetAfter: 0.05, ResetBefore: 0.05, Overloaded: i == 2})
	}
	lib, err := client.New(client.Options{Routers: []string{tg.gateway.Address()}, Connections: 200, LateResponseTimeout: 200 * time.Millisecond, Seed: 3})
	if err != nil {
		t.Fatal(err)
	}
	defer lib.Close()
	workloads := map[string]client.Workload{"forecast": {Effect: client.Idempotent}, "booking": {Effect: client.IdempotentByKey, KeyWindow: 600 * time.Millisecond}, "ticket": {}}
	names := []string{"forecast", "booking", "ticket"}
	var mu sync.Mutex
	outcomes, retries := map[string]int{}, 0
	const calls = 3000
	random := rand.New(rand.NewPCG(1, 1))
	semaphore := make(chan bool, 60)
	var wg sync.WaitGroup
	for i := range calls {
		semaphore <- true
		name, timeout := names[i%3], time.Duration(300+random.IntN(700))*time.Millisecond
		wg.Go(func() {
			defer func() { <-semaphore }()
			key, lastTry, start := fmt.Sprint("m", i), 0, time.Now()
			rec := invariant.Record{Effect: key, Workload: name}
			_, err := lib.Infer(context.Background(), client.Call{Model: fmt.Sprint(name, "-", i%4), IdempotencyKey: key, Timeout: timeout, Workload: workloads[name],
				BodyFor: func(attempt client.Attempt) []byte {
					if attempt.Number <= lastTry || attempt.IdempotencyKey != key || attempt.Remaining <= 0 || attempt.Remaining > timeout {
						t.Errorf("call %d: try %+v after try %d", i, attempt, lastTry)
					}
					if attempt.Number > 1 {
						mu.Lock()
						retries++
						mu.Unlock()
					}
					lastTry = attempt.Number
					rec.Kind, rec.Request, rec.Deadline = invariant.RequestSent, fmt.Sprint(i, ".", attempt.Number), tg.log.Now()+attempt.Remaining.Microseconds()
					tg.log.Add(rec)
					return inferRequest(rec.Request, "", attempt.Remaining).Body
				},
				AttemptEnded: func(_ client.Attempt, outcome string) {
					switch rec.Kind, rec.Detail = invariant.ResponseReceived, outcome; outcome {
					case "unsent":
						rec.Kind = invariant.RequestNotSent
					case "lost":
						rec.Kind = invariant.RequestTimedOut
					}
					tg.log.Add(rec)
				}})
			kind := "finished"
			var failed *client.CallError
			if errors.As(err, &failed) {
				kind = string(failed.Kind)
			} else if err != nil {
				t.Errorf("call %d: %v", i, err)
			}
			if overrun := time.Since(start) - timeout; overrun > 200*time.Millisecond {
				t.Errorf("call %d ended %s after its deadline", i, overrun)
			}
			mu.Lock()
			outcomes[kind]++
			mu.Unlock()
		})
	}
	wg.Wait()
	report := tg.checkRules()
	total := 0
	for _, n := range outcomes {
		total += n
	}
	if total != calls || outcomes["finished"] < calls*9/10 || retries == 0 || retries > calls/5 {
		t.Errorf("%v, %d retries", outcomes, retries)
	}
	t.Logf("%v, %d retries, %d attempts", outcomes, retries, report.Attempts)
}
