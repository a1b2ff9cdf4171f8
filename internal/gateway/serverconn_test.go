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

// A drain notice between choosing and writing, and a choice whose list grew old while the process was stopped.
func TestWithdrawnAndOldChoicesAreNeverSent(t *testing.T) {
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
			t.Errorf("server got job %s", r.Request)
		}
	}
}

// Connections closed while idle prove nothing ran; those closed once the job was on them don't.
func TestIdleConnectionIsClosed(t *testing.T) {
	tg := newTestGateway(t)
	closed := make(chan struct{}, 8)
	address := listenRaw(t, func(n int, nc *net.TCPConn) {
		client := rest.NewConn(nc, &rest.DefaultLimits, nil)
		if _, err := client.ReadRequest(); err != nil {
			return
		}
		if n == 1 { // reads the job, and is gone
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
			for client := sc.client.Load(); client != nil && !client.Stale(); {
				time.Sleep(time.Millisecond)
			}
		}
	}
	if client := sc.client.Load(); client != nil {
		client.Close()
	}
}

func TestRefusedConnectionIsNoConnection(t *testing.T) {
	tg := newTestGateway(t, serverOptions(0))
	tg.servers[0].Stop()
	call := tg.gateway.newCall(1, 1_000_000)
	call.message = inferRequest("1", "forecast-1", time.Second)
	if result := tg.exchange(call); result.result != control.ConnectFailed {
		t.Errorf("got %v", result.result)
	}
}

func TestForwardedLeavesOutOneConnectionsFields(t *testing.T) {
	h := forwardedHeader(rest.Header{"Connection": {"close, x-hop"}, "X-Hop": {"1"}, "Te": {"x"}, "A": {"b"}, kserve.HeaderLength: {"3"}})
	if len(h) != 2 || h.Get("A") != "b" || h.Get(kserve.HeaderLength) != "3" {
		t.Errorf("got %v", h)
	}
}
