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

// The client library against this router, while servers lose responses, reset connections and reject: each call has one
// outcome within its deadline, attempts are counted and keep their key, none is sent after the deadline or the window, and
// the rules hold.
func TestClientLibraryUnderFaults(t *testing.T) {
	tg := newTestGatewayWith(t, "[clients]\nanswer_margin = 100ms\nstay_away = 40ms\n", serverOptions(0), serverOptions(1), serverOptions(2))
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
	outcomes, repeats := map[string]int{}, 0
	const calls = 3000
	chance := rand.New(rand.NewPCG(1, 1))
	places := make(chan bool, 60)
	var wg sync.WaitGroup
	for i := range calls {
		places <- true
		name, patience := names[i%3], time.Duration(300+chance.IntN(700))*time.Millisecond
		wg.Go(func() {
			defer func() { <-places }()
			key, last, begun := fmt.Sprint("m", i), 0, time.Now()
			rec := invariant.Record{Effect: key, Workload: name}
			_, err := lib.Infer(context.Background(), client.Call{Model: fmt.Sprint(name, "-", i%4), IdempotencyKey: key, Timeout: patience, Workload: workloads[name],
				BodyFor: func(x client.Attempt) []byte {
					if x.Number <= last || x.IdempotencyKey != key || x.Remaining <= 0 || x.Remaining > patience {
						t.Errorf("call %d: try %+v after try %d", i, x, last)
					}
					if x.Number > 1 {
						mu.Lock()
						repeats++
						mu.Unlock()
					}
					last = x.Number
					rec.Kind, rec.Request, rec.Deadline = invariant.RequestSent, fmt.Sprint(i, ".", x.Number), tg.log.Now()+x.Remaining.Microseconds()
					tg.log.Add(rec)
					return inferRequest(rec.Request, "", x.Remaining).Body
				},
				AttemptEnded: func(_ client.Attempt, ending string) {
					switch rec.Kind, rec.Detail = invariant.ResponseReceived, ending; ending {
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
			if late := time.Since(begun) - patience; late > 200*time.Millisecond {
				t.Errorf("call %d had its outcome %s after its time", i, late)
			}
			mu.Lock()
			outcomes[kind]++
			mu.Unlock()
		})
	}
	wg.Wait()
	v := tg.checkRules()
	all := 0
	for _, n := range outcomes {
		all += n
	}
	if all != calls || outcomes["finished"] < calls*9/10 || repeats == 0 || repeats > calls/5 {
		t.Errorf("%v, %d repeats", outcomes, repeats)
	}
	t.Logf("%v, %d repeats, %d attempts", outcomes, repeats, v.Attempts)
}
