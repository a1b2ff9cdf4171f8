package gateway

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"hollymast/control"
	"hollymast/internal/invariant"
)

// However late the first byte is written, the attempt states the time that is left then.
func TestAttemptStatesTimeLeft(t *testing.T) {
	tg := newTestGatewayConfigured(t, "", func(c *Config) { c.MaxDials = 1 })
	tg.gateway.dialing <- struct{}{} // another connection dials
	address, attempts := recordingServer(t, new(atomic.Int64))
	call := tg.newCall(address, time.Second)
	time.AfterFunc(500*time.Millisecond, func() { <-tg.gateway.dialing })
	sc := &serverConn{gateway: tg.gateway, address: address}
	if result := sc.exchange(call); result.result != control.Succeeded {
		t.Fatalf("got %v", result.result)
	}
	call.cancel()
	if h := <-attempts; h.timeout > call.deadline.Sub(h.receivedAt)+timeoutTolerance || h.timeout < 100*time.Millisecond {
		t.Errorf("stated %v with %v left", h.timeout, call.deadline.Sub(h.receivedAt))
	}
}

// A stall between a step's clock and its choice counts against the attempt's deadline.
func TestDeadlineCountsFromStepTime(t *testing.T) {
	tg := newTestGateway(t)
	s := make(chan *serverCall)
	tg.gateway.loop.Post(func(now control.Micros) {
		tg.gateway.loop.StepTime = now - 700_000
		s <- tg.gateway.newCall(1, 1_000_000)
	})
	if left := time.Until((<-s).deadline); left > 300*time.Millisecond {
		t.Errorf("%v are left of 300ms", left)
	}
}

// A request's deadline counts from its arrival, not from when it was read: after a stall of the process, or behind another
// pipelined request.
func TestDeadlineCountsFromArrival(t *testing.T) {
	const limit, late = time.Second, 400 * time.Millisecond
	for name, ahead := range map[string]int{"read late": 0, "pipelined": 1} {
		var slow atomic.Int64
		tg := newTestGatewayConfigured(t, "", func(c *Config) { c.Deployment.Classes[0].LatencyObjective = micros(limit) })
		address, attempts := recordingServer(t, &slow)
		if err := os.WriteFile(tg.endpointFile, []byte("[a]\naddress = "+address+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		for tg.call("first", "forecast-1", limit) != invariant.Succeeded { // the endpoints are read, and the function loaded
			time.Sleep(10 * time.Millisecond)
		}
		<-attempts
		slow.Store(int64(ahead) * int64(late))
		l, err := listenTCP("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		body := inferRequest("1", "forecast-1", limit).Body
		began := time.Now()
		for range ahead + 1 {
			fmt.Fprintf(conn, "POST /v2/models/forecast-1/infer HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
		if ahead == 0 {
			time.Sleep(late)
		}
		go tg.gateway.accept(t.Context(), l, clientListener)
		var h statedTimeout
		for range ahead + 1 {
			select {
			case h = <-attempts:
			case <-time.After(5 * time.Second):
				t.Fatalf("%s: not sent", name)
			}
		}
		if left := limit - h.receivedAt.Sub(began); h.timeout > left+timeoutTolerance || h.timeout < left-timeoutTolerance {
			t.Errorf("%s: stated %v with %v left", name, h.timeout, left)
		}
	}
}
