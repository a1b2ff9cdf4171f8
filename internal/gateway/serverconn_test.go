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

// A call is not sent if a drain has withdrawn it, or if its endpoint list became too old during a stall of the process.
func TestWithdrawnAndStaleCallsAreNotSent(t *testing.T) {
	tg := newTestGateway(t, serverConfig(0))
	call := tg.gateway.newCall(1, 1_000_000)
	call.message = inferRequest("1", "forecast-1", time.Second)
	if !call.withdraw() {
		t.Error("the call could not be withdrawn")
	}
	if result := tg.exchange(call); result.result != control.NotSent {
		t.Errorf("withdrawn: got %v", result.result)
	}
	call = tg.gateway.newCall(1, 1_000_000)
	call.message = inferRequest("2", "forecast-1", time.Second)
	call.writeBefore -= micros(tg.gateway.config.GracePeriod)
	if result := tg.exchange(call); result.result != control.NotSent {
		t.Errorf("old endpoint list: got %v", result.result)
	}
	for _, r := range tg.log.Records() {
		if r.Kind == invariant.AttemptReceived {
			t.Errorf("the server received request %s", r.Request)
		}
	}
}

// If the server closes a connection while it is idle, the next request did not run. If it closes the connection after
// the request was written, the request may have run.
func TestServerClosesConnection(t *testing.T) {
	tg := newTestGateway(t)
	closed := make(chan struct{}, 8)
	address := listenRaw(t, func(n int, conn *net.TCPConn) {
		client := rest.NewConn(conn, &rest.DefaultLimits, nil)
		if _, err := client.ReadRequest(); err != nil {
			return
		}
		if n == 1 { // read the request, then reset the connection
			conn.SetLinger(0)
			return
		}
		client.WriteResponse(&rest.Response{Status: 200, Header: rest.Header{}, Body: []byte(`{}`)})
		conn.Close()
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
	tg := newTestGateway(t, serverConfig(0))
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
