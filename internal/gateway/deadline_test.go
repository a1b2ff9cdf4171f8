package gateway

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"hollymast/control"
	"hollymast/internal/acceptqueue"
	"hollymast/internal/invariant"
)

// The timeout header of an attempt is the time left when its first byte is written, however late that is.
func TestAttemptStatesTimeLeft(t *testing.T) {
	tg := newTestGatewayConfigured(t, "", func(c *Config) { c.MaxDials = 1 })
	tg.gateway.dialSemaphore <- struct{}{} // occupied by another connection
	address, attempts := startRecordingServer(t, new(atomic.Int64))
	call := tg.newCall(address, time.Second)
	time.AfterFunc(500*time.Millisecond, func() { <-tg.gateway.dialSemaphore })
	sc := &serverConn{gateway: tg.gateway, address: address}
	if result := sc.exchange(call); result.result != control.Succeeded {
		t.Fatalf("got %v", result.result)
	}
	call.cancel()
	if received := <-attempts; received.timeout > call.deadline.Sub(received.receivedAt)+timeoutTolerance || received.timeout < 100*time.Millisecond {
		t.Errorf("the attempt states a timeout of %v with %v left", received.timeout, call.deadline.Sub(received.receivedAt))
	}
}

// An attempt's deadline counts from the step's time, even if the process stalls before the step chooses.
func TestDeadlineCountsFromStepTime(t *testing.T) {
	tg := newTestGateway(t)
	calls := make(chan *serverCall)
	tg.gateway.loop.Post(func(now control.Micros) {
		tg.gateway.loop.StepTime = now - 700_000
		calls <- tg.gateway.newCall(1, 1_000_000)
	})
	if left := time.Until((<-calls).deadline); left > 300*time.Millisecond {
		t.Errorf("%v left, want at most 300ms", left)
	}
}

// A request's deadline counts from its arrival even if it is read later, because the process stalled or the request was
// pipelined behind another one.
func TestDeadlineCountsFromArrival(t *testing.T) {
	const requestTimeout, delay = time.Second, 400 * time.Millisecond
	for name, pipelined := range map[string]int{"read late": 0, "pipelined": 1} {
		var slow atomic.Int64
		tg := newTestGatewayConfigured(t, "", func(c *Config) { c.Deployment.Classes[0].LatencyObjective = micros(requestTimeout) })
		address, attempts := startRecordingServer(t, &slow)
		if err := os.WriteFile(tg.endpointFile, []byte("[a]\naddress = "+address+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		for tg.call("first", "forecast-1", requestTimeout) != invariant.Succeeded { // the endpoints are read, and the function loaded
			time.Sleep(10 * time.Millisecond)
		}
		<-attempts
		slow.Store(int64(pipelined) * int64(delay))
		l, err := acceptqueue.Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		body := inferRequest("1", "forecast-1", requestTimeout).Body
		start := time.Now()
		for range pipelined + 1 {
			fmt.Fprintf(conn, "POST /v2/models/forecast-1/infer HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
		if pipelined == 0 {
			time.Sleep(delay)
		}
		go tg.gateway.accept(t.Context(), l, clientListener)
		var received receivedAttempt
		for range pipelined + 1 {
			select {
			case received = <-attempts:
			case <-time.After(5 * time.Second):
				t.Fatalf("%s: no attempt was received", name)
			}
		}
		if left := requestTimeout - received.receivedAt.Sub(start); received.timeout > left+timeoutTolerance || received.timeout < left-timeoutTolerance {
			t.Errorf("%s: the attempt states a timeout of %v with %v left", name, received.timeout, left)
		}
	}
}
