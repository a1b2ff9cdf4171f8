package gateway

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"hollymast/internal/invariant"
)

// TestCallsWithoutEffectArePaced guards against a client whose metadata calls, invalid requests and the like are answered as fast as it
// sends them, while others wait for the processor.
func TestCallsWithoutEffectArePaced(t *testing.T) {
	const (
		calls    = 2000
		measured = time.Second
	)
	for name, request := range map[string]string{
		"health checks":  "GET /v2/health/ready HTTP/1.1\r\nHost: a\r\n\r\n",
		"unknown calls":  "GET /none HTTP/1.1\r\nHost: a\r\n\r\n",
		"invalid bodies": "POST /v2/models/forecast-1/infer HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tg := newTestGateway(t, serverConfig(0))
			tg.gateway.clientRate.SetRate(1)
			conn, _ := tg.dialClient()
			go conn.Write([]byte(strings.Repeat(request, calls)))
			conn.SetReadDeadline(time.Now().Add(measured))
			responses, _ := io.ReadAll(conn)
			limits := tg.gateway.clientRate.Limits()
			answered := bytes.Count(responses, []byte("HTTP/1.1 "))
			if most := limits.Burst + int(limits.SharedPerSecond/10) + int(limits.PerSecond*measured.Seconds()*2); answered > most || answered < limits.Burst {
				t.Errorf("%d calls were answered in %v, at most %d expected", answered, measured, most)
			}
			if got := tg.call("usual", "forecast-2", time.Second); got != invariant.Succeeded {
				t.Errorf("another client's request: %s", got)
			}
		})
	}
}
