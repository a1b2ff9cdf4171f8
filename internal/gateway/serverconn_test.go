package gateway

import (
	"net"
	"testing"
	"time"

	"hollymast/control"
	"hollymast/internal/invariant"
	"hollymast/internal/rest"
	"hollymast/kserve"
)

// Not sent are a call that a drain has withdrawn, and one whose endpoint list has grown too old while the process was
// stalled.
func TestWithdrawnAndStaleCallsAreNotSent(t *testing.T) {
	tg := newTestGateway(t, serverOptions(0))
	call := tg.gateway.newCall(1, 1_000_000)
	call.message = inferRequest("1", "forecast-1", time.Second)
	if !call.withdraw() {
		t.Error("could not be withdrawn")
	}
	if result := tg.exchange(call); result.result != control.NotSent {
		t.Errorf("withdrawn: got %v", result.result)
	}
	call = tg.gateway.newCall(1, 1_000_000)
	call.message = inferRequest("2", "forecast-1", time.Second)
	call.writeBefore -= micros(tg.gateway.config.GracePeriod)
	if result := tg.exchange(call); result.result != control.NotSent {
		t.Errorf("old: got %v", result.result)
	}
	for _, r := range tg.log.Records() {
		if r.Kind == invariant.AttemptReceived {
			t.Errorf("the server got request %s", r.Request)
		}
	}
}

// A connection that was closed while idle proves that nothing ran; one that is closed after the request was written does
// not.
func TestServerClosesConnection(t *testing.T) {
	tg := newTestGateway(t)
	closed := make(chan struct{}, 8)
	address := listenRaw(t, func(n int, nc *net.TCPConn) {
		client := rest.NewConn(nc, &rest.DefaultLimits, nil)
		if _, err := client.ReadRequest(); err != nil {
			return
		}
		if n == 1 { // reads the request, and resets
			nc.SetLinger(0)
			return
		}
		client.WriteResponse(&rest.Response{Status: 200, Header: rest.Header{}, Body: []byte(`{}`)})
		nc.Close()
		closed <- struct{}{}
	})
	sc := &serverConn{gateway: tg.gateway, address: address}
	for i, want := range []control.Result{control.Succeeded, control.ConnectionReset, control.Succeeded} {
		call := tg.gateway.newCall(1, 1_000_000)
		call.message = inferRequest("1", "forecast-1", time.Second)
		if result := sc.exchange(call); result.result != want {
			t.Errorf("exchange %d: got %v, want %v", i, result.result, want)
		}
		call.cancel()
		if want == control.Succeeded {
			<-closed
			if client := sc.client.Load(); client != nil {
				waitUntil(t, "the close has arrived", client.Stale)
			}
		}
	}
	if client := sc.client.Load(); client != nil {
		client.Close()
	}
}

func TestRefusedConnection(t *testing.T) {
	tg := newTestGateway(t, serverOptions(0))
	tg.servers[0].Stop()
	call := tg.gateway.newCall(1, 1_000_000)
	call.message = inferRequest("1", "forecast-1", time.Second)
	if result := tg.exchange(call); result.result != control.ConnectFailed {
		t.Errorf("got %v", result.result)
	}
}

func TestForwardedHeaderOmitsHopByHopFields(t *testing.T) {
	h := forwardedHeader(rest.Header{"Connection": {"close, x-hop"}, "X-Hop": {"1"}, "Te": {"x"}, "A": {"b"}, kserve.JSONLengthHeader: {"3"}})
	if len(h) != 2 || h.Get("A") != "b" || h.Get(kserve.JSONLengthHeader) != "3" {
		t.Errorf("got %v", h)
	}
}
