package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/tidwall/gjson"
	"go.uber.org/goleak"

	"hollymast/control"
	"hollymast/internal/fakeserver"
	"hollymast/internal/fleet"
	"hollymast/internal/inifile"
	"hollymast/internal/invariant"
	"hollymast/internal/rest"
	"hollymast/kserve"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testSettings = `
[router]
listen = 127.0.0.1:0
admin = 127.0.0.1:0
list = %s
seed = 1
[servers]
cold = 1s
[bounds]
header_time = 100ms
body_time = 100ms
connections = 300
[workload forecast]
start_target = 300ms
time_limit = 2s
effect = restartable
[workload booking]
start_target = 300ms
time_limit = 2s
effect = fingerprinted
window = 600ms
[workload ticket]
start_target = 300ms
time_limit = 1s
effect = run-once
[function booking-*]
workload = booking
lanes = 2
[function ticket-*]
workload = ticket
lanes = 2
[function forecast-*]
workload = forecast
lanes = 2
`

// testGateway is a running gateway with fake servers, and a log of what happens at both.
type testGateway struct {
	t            *testing.T
	gateway      *Gateway
	log          *invariant.Log
	servers      []*fakeserver.Server
	endpointFile string
	stop         context.CancelFunc
	ended        chan error
}

// serverConfig returns the configuration of the n-th fake server.
func serverConfig(n int) fakeserver.Config {
	return fakeserver.Config{Number: n, MaxReplicas: 20, Lanes: 2, Cores: 4, ExecutionTime: 10 * time.Millisecond, QueueLimit: 50, LoadTime: 5 * time.Millisecond,
		MaxConcurrentLoads: 4, DedupWindow: 600 * time.Millisecond, SlowStartDuration: time.Second, SlowStartInitial: 0.25, OverloadWindow: time.Second, OverloadRate: 1e6, Seed: 1}
}

// newTestGateway starts a gateway with fake servers. All are stopped at the end of the test.
func newTestGateway(t *testing.T, servers ...fakeserver.Config) *testGateway {
	t.Helper()
	return newTestGatewayWith(t, "", servers...)
}

// newTestGatewayWith starts a gateway with additional sections in its INI file.
func newTestGatewayWith(t *testing.T, sections string, servers ...fakeserver.Config) *testGateway {
	t.Helper()
	return newTestGatewayConfigured(t, sections, func(*Config) {}, servers...)
}

// newTestGatewayConfigured starts a gateway with additional sections and further changes to its configuration.
func newTestGatewayConfigured(t *testing.T, sections string, change func(*Config), servers ...fakeserver.Config) *testGateway {
	t.Helper()
	tg := &testGateway{t: t, log: invariant.NewLog(), endpointFile: filepath.Join(t.TempDir(), "workers.ini"), ended: make(chan error, 1)}
	store := fakeserver.NewStore(time.Millisecond, 8)
	states := make([]string, len(servers))
	for i, server := range servers {
		s := fakeserver.New(server, store, tg.log)
		if err := s.Start(false); err != nil {
			t.Fatal(err)
		}
		tg.servers = append(tg.servers, s)
		states[i] = "ready"
	}
	tg.writeEndpoints(states...)
	file, err := inifile.Parse("test.ini", fmt.Appendf(nil, testSettings+sections, tg.endpointFile))
	if err != nil {
		t.Fatal(err)
	}
	config, err := ParseConfig(file)
	if err != nil {
		t.Fatal(err)
	}
	change(config)
	if tg.gateway, err = New(config, zerolog.Nop()); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	tg.stop = stop
	go func() { tg.ended <- tg.gateway.Serve(ctx) }()
	t.Cleanup(func() {
		stop()
		for _, s := range tg.servers {
			s.Stop()
		}
		if err := <-tg.ended; err != nil {
			t.Error(err)
		}
	})
	waitUntil(t, "the endpoints are read", func() bool { return tg.gateway.ready.Load() })
	return tg
}

// waitUntil polls a condition until it holds.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// writeEndpoints writes the endpoint file with the servers' states, and logs them.
func (tg *testGateway) writeEndpoints(states ...string) {
	var b strings.Builder
	for i, state := range states {
		fmt.Fprintf(&b, "[%d]\naddress = %s\nstate = %s\n", i, tg.servers[i].Address(), state)
	}
	if err := os.WriteFile(tg.endpointFile+".new", []byte(b.String()), 0o600); err != nil {
		tg.t.Fatal(err)
	}
	if err := os.Rename(tg.endpointFile+".new", tg.endpointFile); err != nil {
		tg.t.Fatal(err)
	}
	for i, state := range states {
		tg.log.Add(invariant.Record{Kind: invariant.EndpointPublished, Server: i, Detail: state})
	}
}

// call sends one request, logs it and its response, and returns the kind of answer.
func (tg *testGateway) call(id, function string, timeout time.Duration) string {
	ctx := context.Background()
	client, err := rest.Dial(ctx, tg.gateway.Address(), &rest.DefaultLimits)
	if err != nil {
		tg.t.Error(err)
		return ""
	}
	defer client.Close()
	workload, _, _ := strings.Cut(function, "-")
	rec := invariant.Record{Kind: invariant.RequestSent, Request: id, Effect: id, Workload: workload, Deadline: tg.log.Now() + timeout.Microseconds()}
	tg.log.Add(rec)
	resp, _, err := client.Do(inferRequest(id, function, timeout), time.Now().Add(timeout+500*time.Millisecond))
	if err != nil {
		tg.t.Errorf("request %s: %v", id, err)
		return ""
	}
	rec.Kind, rec.Detail = invariant.ResponseReceived, gjson.GetBytes(resp.Body, "answer").Str
	if resp.Status == 200 {
		rec.Detail = invariant.Succeeded
	}
	tg.log.Add(rec)
	return rec.Detail
}

// inferRequest returns an inference request with an id and a timeout.
func inferRequest(id, function string, timeout time.Duration) *rest.Request {
	return &rest.Request{Method: "POST", Target: "/v2/models/" + function + "/infer", Header: rest.Header{"Host": {"test"}},
		Body: fmt.Appendf(nil, `{"id":%q,"parameters":{"timeout":%d,"effect":%q},"inputs":[]}`, id, timeout.Microseconds(), id)}
}

// checkRules checks the log against the rules, fails the test for each violation, and returns the report.
func (tg *testGateway) checkRules() *invariant.Report {
	tg.t.Helper()
	report := invariant.Check(invariant.Config{DrainGrace: 500_000, MaxNetworkDelay: 50_000, Zone: make([]string, len(tg.servers)), Cell: make([]string, len(tg.servers)),
		Classes: map[string]invariant.Class{"ticket": {NonIdempotent: true},
			"booking": {IdempotentByKey: true, Scope: "fleet", Window: 600_000}}}, tg.log.Records())
	for _, rule := range report.Rules {
		for _, violation := range rule.Violations {
			tg.t.Errorf("rule %d: %s", rule.Number, violation)
		}
	}
	return report
}

// exchange sends one call on a new connection to the first server.
func (tg *testGateway) exchange(call *serverCall) callResult {
	sc := &serverConn{gateway: tg.gateway, address: tg.servers[0].Address()}
	defer func() {
		if client := sc.client.Load(); client != nil {
			client.Close()
		}
		call.cancel()
	}()
	return sc.exchange(call)
}

// listenRaw starts a TCP server that passes each connection and its number, from 0, to handle. It returns its address.
func listenRaw(t *testing.T, handle func(n int, conn *net.TCPConn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		for n := 0; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer conn.Close()
				handle(n, conn.(*net.TCPConn))
			}()
		}
	}()
	t.Cleanup(func() { listener.Close(); wg.Wait() })
	return listener.Addr().String()
}

// dialClient opens a raw client connection.
func (tg *testGateway) dialClient() (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", tg.gateway.Address())
	if err != nil {
		tg.t.Fatal(err)
	}
	tg.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	return conn, bufio.NewReader(conn)
}

// inferText returns the text of an inference request.
func inferText(id, function string) string {
	body := fmt.Sprintf(`{"id":%q,"inputs":[]}`, id)
	return fmt.Sprintf("POST /v2/models/%s/infer HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", function, len(body), body)
}

// inFlight returns how many requests the gateway has in flight.
func (tg *testGateway) inFlight() int {
	counted := make(chan int, 1)
	tg.gateway.loop.Post(func(control.Micros) { counted <- len(tg.gateway.requests) })
	return <-counted
}

// attemptsReceived returns how many attempts of a request the servers have received.
func (tg *testGateway) attemptsReceived(id string) (n int) {
	for _, r := range tg.log.Records() {
		if r.Kind == invariant.AttemptReceived && r.Request == id {
			n++
		}
	}
	return n
}

// readStatusLines reads n responses and returns their status lines.
func readStatusLines(r *bufio.Reader, n int) (lines []string, err error) {
	for range n {
		line, err := r.ReadString('\n')
		if err != nil {
			return lines, err
		}
		lines = append(lines, strings.TrimSpace(line))
		length := 0
		for line != "\r\n" {
			if line, err = r.ReadString('\n'); err != nil {
				return lines, err
			}
			if name, value, ok := strings.Cut(strings.TrimSpace(line), ": "); ok && name == "Content-Length" {
				for _, digit := range value {
					length = 10*length + int(digit-'0')
				}
			}
		}
		if _, err := r.Discard(length); err != nil {
			return lines, err
		}
	}
	return lines, nil
}

// callWithKey sends a request with an idempotency key and returns the kind of answer.
func (tg *testGateway) callWithKey(id, function, key string) string {
	tg.t.Helper()
	client, err := rest.Dial(context.Background(), tg.gateway.Address(), &rest.DefaultLimits)
	if err != nil {
		tg.t.Fatal(err)
	}
	defer client.Close()
	msg := inferRequest(id, function, time.Second)
	msg.Header[kserve.IdempotencyKeyHeader] = []string{key}
	resp, _, err := client.Do(msg, time.Now().Add(2*time.Second))
	if err != nil {
		tg.t.Fatal(err)
	}
	if resp.Status == 200 {
		return invariant.Succeeded
	}
	return gjson.GetBytes(resp.Body, "answer").Str
}

// attemptsStarted returns how many attempts of a request a server has started to execute; -1 counts all servers.
func (tg *testGateway) attemptsStarted(id string, server int) int {
	n := 0
	for _, r := range tg.log.Records() {
		if r.Kind == invariant.AttemptStarted && r.Request == id && (server < 0 || r.Server == server) {
			n++
		}
	}
	return n
}

// newCall returns an attempt that is chosen in the next step. It stays valid for an hour longer than usual, so that no
// delay in the test withdraws it because of an old endpoint list or an old check of its client.
func (tg *testGateway) newCall(address string, timeout time.Duration) *serverCall {
	chosen := make(chan *serverCall)
	tg.gateway.loop.Post(func(control.Micros) { chosen <- tg.gateway.newCall(fleet.ID(address), micros(timeout)) })
	call := <-chosen
	call.writeBefore += micros(time.Hour)
	req := &request{message: inferRequest("1", "forecast-1", timeout), call: kserve.Call{Operation: kserve.Infer, Model: "forecast-1"}}
	req.clientCheckedAt.Store(int64(tg.gateway.loop.Now() + micros(time.Hour)))
	call.request, call.message = req, tg.gateway.attemptMessage(req, 0)
	return call
}

// timeoutTolerance is the maximum difference between an attempt's timeout header and the time that its client has left.
const timeoutTolerance = 150 * time.Millisecond

// receivedAttempt is the time at which a server received an attempt, and the attempt's timeout header.
type receivedAttempt struct {
	receivedAt time.Time
	timeout    time.Duration
}

// startRecordingServer starts a server that reports the attempts that it receives. If nextDelay is set, the server
// delays its next response by that many nanoseconds.
func startRecordingServer(t *testing.T, nextDelay *atomic.Int64) (address string, attempts chan receivedAttempt) {
	attempts = make(chan receivedAttempt, 64)
	return listenRaw(t, func(_ int, conn *net.TCPConn) {
		client := rest.NewConn(conn, &rest.DefaultLimits, nil)
		msg, err := client.ReadRequest()
		if err != nil {
			return
		}
		if strings.HasSuffix(msg.Target, "/infer") { // otherwise it is a load command
			ms, _ := strconv.Atoi(msg.Header.Get(kserve.TimeoutHeader))
			attempts <- receivedAttempt{time.Now(), time.Duration(ms) * time.Millisecond}
			time.Sleep(time.Duration(nextDelay.Swap(0)))
		}
		client.WriteResponse(&rest.Response{Status: 200, Header: rest.Header{}, Body: []byte(`{}`), Close: true})
	}), attempts
}
