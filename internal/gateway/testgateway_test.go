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

// field is a gateway with stand-ins round it.
type testGateway struct {
	t            *testing.T
	gateway      *Gateway
	log          *invariant.Log
	servers      []*fakeserver.Server
	endpointFile string
	stop         context.CancelFunc
	ended        chan error
}

func serverOptions(n int) fakeserver.Config {
	return fakeserver.Config{Number: n, MaxReplicas: 20, Lanes: 2, Cores: 4, ExecutionTime: 10 * time.Millisecond, QueueLimit: 50, LoadTime: 5 * time.Millisecond,
		MaxLoads: 4, DedupWindow: 600 * time.Millisecond, SlowStartDuration: time.Second, SlowStartInitial: 0.25, OverloadWindow: time.Second, OverloadRate: 1e6, Seed: 1}
}

func newTestGateway(t *testing.T, makes ...fakeserver.Config) *testGateway {
	t.Helper()
	return newTestGatewayWith(t, "", makes...)
}

// newFieldTold gives a gateway with further settings.
func newTestGatewayWith(t *testing.T, further string, makes ...fakeserver.Config) *testGateway {
	t.Helper()
	return newTestGatewayConfigured(t, further, func(*Config) {}, makes...)
}

// newFieldChanged gives one whose told values are changed besides.
func newTestGatewayConfigured(t *testing.T, further string, change func(*Config), makes ...fakeserver.Config) *testGateway {
	t.Helper()
	tg := &testGateway{t: t, log: invariant.NewLog(), endpointFile: filepath.Join(t.TempDir(), "workers.ini"), ended: make(chan error, 1)}
	store := fakeserver.NewStore(time.Millisecond, 8)
	states := make([]string, len(makes))
	for i, m := range makes {
		s := fakeserver.New(m, store, tg.log)
		if err := s.Start(false); err != nil {
			t.Fatal(err)
		}
		tg.servers = append(tg.servers, s)
		states[i] = "ready"
	}
	tg.writeEndpoints(states...)
	in, err := inifile.Parse("test.ini", fmt.Appendf(nil, testSettings+further, tg.endpointFile))
	if err != nil {
		t.Fatal(err)
	}
	config, err := ParseConfig(in)
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
	for !tg.gateway.ready.Load() {
		time.Sleep(time.Millisecond)
	}
	return tg
}

// write writes the list with the servers' states and tells the log.
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

// ask sends one job and notes both ends of it; the answer's word comes back.
func (tg *testGateway) call(job, function string, limit time.Duration) string {
	ctx := context.Background()
	client, err := rest.Dial(ctx, tg.gateway.Address(), &rest.DefaultLimits)
	if err != nil {
		tg.t.Error(err)
		return ""
	}
	defer client.Close()
	workload, _, _ := strings.Cut(function, "-")
	rec := invariant.Record{Kind: invariant.RequestSent, Request: job, Effect: job, Workload: workload, Deadline: tg.log.Now() + limit.Microseconds()}
	tg.log.Add(rec)
	resp, _, err := client.Do(inferRequest(job, function, limit), time.Now().Add(limit+500*time.Millisecond))
	if err != nil {
		tg.t.Errorf("job %s: %v", job, err)
		return ""
	}
	rec.Kind, rec.Detail = invariant.ResponseReceived, gjson.GetBytes(resp.Body, "answer").Str
	if resp.Status == 200 {
		rec.Detail = invariant.Succeeded
	}
	tg.log.Add(rec)
	return rec.Detail
}

func inferRequest(job, function string, limit time.Duration) *rest.Request {
	return &rest.Request{Method: "POST", Target: "/v2/models/" + function + "/infer", Header: rest.Header{"Host": {"test"}},
		Body: fmt.Appendf(nil, `{"id":%q,"parameters":{"timeout":%d,"effect":%q},"inputs":[]}`, job, limit.Microseconds(), job)}
}

// judge fails the test for each breach of a rule.
func (tg *testGateway) checkRules() *invariant.Report {
	tg.t.Helper()
	v := invariant.Check(invariant.Config{DrainGrace: 500_000, MaxNetworkDelay: 50_000, Zone: make([]string, len(tg.servers)), Cell: make([]string, len(tg.servers)),
		Classes: map[string]invariant.Class{"ticket": {NonIdempotent: true},
			"booking": {IdempotentByKey: true, Scope: "fleet", Window: 600_000}}}, tg.log.Records())
	for _, r := range v.Rules {
		for _, b := range r.Violations {
			tg.t.Errorf("rule %d: %s", r.Number, b)
		}
	}
	return v
}

// carried runs one sending over a link by hand.
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

// raw is a model server written out by hand: it gives each connection to a function.
func listenRaw(t *testing.T, f func(n int, nc *net.TCPConn)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		for n := 0; ; n++ {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer conn.Close()
				f(n, conn.(*net.TCPConn))
			}()
		}
	}()
	t.Cleanup(func() { ln.Close(); wg.Wait() })
	return ln.Addr().String()
}

// talk opens a raw client connection.
func (tg *testGateway) dialClient() (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", tg.gateway.Address())
	if err != nil {
		tg.t.Fatal(err)
	}
	tg.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	return conn, bufio.NewReader(conn)
}

func inferText(job, function string) string {
	body := fmt.Sprintf(`{"id":%q,"inputs":[]}`, job)
	return fmt.Sprintf("POST /v2/models/%s/infer HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", function, len(body), body)
}

func (tg *testGateway) inFlight() int {
	counted := make(chan int, 1)
	tg.gateway.post(func(control.Micros) { counted <- len(tg.gateway.requests) })
	return <-counted
}

func (tg *testGateway) received(job string) (n int) {
	for _, r := range tg.log.Records() {
		if r.Kind == invariant.AttemptReceived && r.Request == job {
			n++
		}
	}
	return n
}

// answers reads n answers and tells their first lines.
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

// askMarked sends a job with a client's mark and gives the answer's word.
func (tg *testGateway) callWithKey(job, function, key string) string {
	tg.t.Helper()
	client, err := rest.Dial(context.Background(), tg.gateway.Address(), &rest.DefaultLimits)
	if err != nil {
		tg.t.Fatal(err)
	}
	defer client.Close()
	msg := inferRequest(job, function, time.Second)
	msg.Header[kserve.RepeatMark] = []string{key}
	resp, _, err := client.Do(msg, time.Now().Add(2*time.Second))
	if err != nil {
		tg.t.Fatal(err)
	}
	if resp.Status == 200 {
		return invariant.Succeeded
	}
	return gjson.GetBytes(resp.Body, "answer").Str
}

// began counts the executions of a job on a server, or on all for -1.
func (tg *testGateway) attemptsBegun(job string, server int) int {
	n := 0
	for _, r := range tg.log.Records() {
		if r.Kind == invariant.AttemptStarted && r.Request == job && (server < 0 || r.Server == server) {
			n++
		}
	}
	return n
}

// sendingNow gives an execution that is chosen in the next turn, by a list that stays fresh.
func (tg *testGateway) newCall(address string, allow time.Duration) *serverCall {
	chosen := make(chan *serverCall)
	tg.gateway.post(func(control.Micros) { chosen <- tg.gateway.newCall(fleet.ID(address), micros(allow)) })
	call := <-chosen
	call.writeBefore += micros(time.Hour)
	req := &request{message: inferRequest("1", "forecast-1", allow), call: kserve.Call{Kind: kserve.Infer, Model: "forecast-1"}}
	req.clientCheckedAt.Store(int64(tg.gateway.now() + micros(time.Hour)))
	call.request, call.message = req, tg.gateway.attemptMessage(req, 0)
	return call
}

// slack is by how much the time that a server is told may exceed what its client has left.
const timeoutTolerance = 150 * time.Millisecond

// toldLeft is a server's end of an exchange: when its request was whole, and the time that it told.
type statedTimeout struct {
	receivedAt time.Time
	timeout    time.Duration
}

// listens gives a server that notes what it is told, and takes its time for one request.
func recordingServer(t *testing.T, slow *atomic.Int64) (address string, heard chan statedTimeout) {
	heard = make(chan statedTimeout, 64)
	return listenRaw(t, func(_ int, nc *net.TCPConn) {
		client := rest.NewConn(nc, &rest.DefaultLimits, nil)
		msg, err := client.ReadRequest()
		if err != nil {
			return
		}
		if strings.HasSuffix(msg.Target, "/infer") { // else it is an order to load
			ms, _ := strconv.Atoi(msg.Header.Get(kserve.TimeoutHeader))
			heard <- statedTimeout{time.Now(), time.Duration(ms) * time.Millisecond}
			time.Sleep(time.Duration(slow.Swap(0)))
		}
		client.WriteResponse(&rest.Response{Status: 200, Header: rest.Header{}, Body: []byte(`{}`), Close: true})
	}), heard
}
