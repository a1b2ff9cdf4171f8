package gateway

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"hollymast/control"
	"hollymast/internal/fakeserver"
	"hollymast/internal/invariant"
)

func TestRequestsSucceed(t *testing.T) {
	tg := newTestGateway(t, serverConfig(0), serverConfig(1))
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * 2 * time.Millisecond)
			if answer := tg.call(fmt.Sprint(i), fmt.Sprintf("forecast-%d", i%5), 2*time.Second); answer != invariant.Succeeded {
				t.Errorf("request %d: %s", i, answer)
			}
		}()
	}
	wg.Wait()
	tg.checkRules()
}

// Servers accept requests and never respond. A request with an idempotency key is answered once and in time, and is not
// retried after its window. A non-idempotent request fails and is never rejected.
func TestSilentServers(t *testing.T) {
	tg := newTestGateway(t, serverConfig(0), serverConfig(1))
	for i := range 20 { // the balancer learns the execution times
		tg.call(fmt.Sprint("w", i), "forecast-1", time.Second)
	}
	for _, s := range tg.servers {
		s.SetFaults(fakeserver.Faults{Unresponsive: true})
	}
	var wg sync.WaitGroup
	for i := range 10 {
		for _, function := range []string{"booking-1", "ticket-1"} {
			wg.Add(1)
			go func() {
				defer wg.Done()
				answer := tg.call(fmt.Sprint(function, i), function, 1500*time.Millisecond)
				if function == "ticket-1" && answer == invariant.Succeeded {
					t.Errorf("%s %d: %s from a silent server", function, i, answer)
				}
			}()
		}
	}
	wg.Wait()
	if report := tg.checkRules(); report.Failed == 0 || report.Attempts < 21 {
		t.Errorf("got %+v", report)
	}
}

// Each request gets exactly one answer if its response arrives within a millisecond of its deadline.
func TestResponseMeetsDeadline(t *testing.T) {
	server := serverConfig(0)
	server.ExecutionTime, server.Cores, server.Lanes = 50*time.Millisecond, 200, 200
	tg := newTestGatewayWith(t, "[clients]\nanswer_margin = 200ms\n", server) // larger than the delays of a busy machine
	tg.call("first", "forecast-1", 2*time.Second)
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			// Execution takes 30 to 70 ms. The timeouts less the answer margin of 200 ms cover the same range.
			tg.call(fmt.Sprint(i), "forecast-1", 230*time.Millisecond+time.Duration(i)*400*time.Microsecond)
		}()
	}
	wg.Wait()
	if report := tg.checkRules(); report.Succeeded == 0 || report.Rejected == 0 {
		t.Errorf("want both successes and rejections: %+v", report)
	}
}

// Function ids are the same in every router and every version: recordings and histories identify functions by them.
func TestFunctionIDsAreKeyed(t *testing.T) {
	for _, c := range []struct {
		key, name string
		want      control.FunctionID
	}{
		{"", "a", 0xd24ec4f1a98c6e5b},
		{"", "b", 0x78452aa11af39f9b},
		{"one key of some length", "a", 0xa482a8ed5d0771a8},
		{"one key of some length", "b", 0x2d87f28029aff795},
		{"another of some length", "a", 0x907440e2c4cdc8f4},
		{"another of some length", "b", 0xe4f974e3885f7a07},
	} {
		if got := functionID(c.key, c.name); got != c.want {
			t.Errorf("%q, %q: %#x, want %#x", c.key, c.name, got, c.want)
		}
	}
}
