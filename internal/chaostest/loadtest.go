package chaostest

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"hollymast/internal/rest"
)

// LoadTest is a steady stream of requests that take servers no time, through one router and straight to the same servers.
type LoadTest struct {
	Rate             int // requests per second
	Length           time.Duration
	Connections      int
	Servers          int
	Functions        int
	IdleConnections  int // further client connections, without requests
	TensorBytes      int // per request
	RecordingPairs   int // pairs of streams, one of each while the router records
	PersistencePairs int // pairs of streams, one of each through a router that persists its state
	TLSTriples       int // triples of streams: without TLS, with TLS, and with TLS while certificates are rotated
	UnknownFunctions int // distinct functions that no server has, requested before the stream is measured once more

	functionPrefix string         // of the functions' names
	secure         rest.Handshake // nil: no TLS
}

// LoadResult is what one stream showed. Latencies are microseconds from the time when a request was due if its connection was
// still busy then, so that a stall counts for all requests that it delayed; from its sending otherwise.
type LoadResult struct {
	Path             string
	Requests, Failed int64
	P50, P99, P999   int64
	CPUPerRequest    float64 // microseconds of the router's processor time
	MemoryKB         int64   // resident in the router at the end
	Throughput       float64 // requests per second that were achieved
	RecordedBytes    float64 // per request
	LostSteps        uint64  // event-loop steps that the recording lost
	ReplaySpeed      float64 // in multiples of the speed at which it was recorded
	Ratios           []Ratio // with something switched on, over without it
	Note             string
}

// A stream of this length and, at most, this rate comes before the measured ones.
const (
	warmUpTime = time.Second
	warmUpRate = 1000 // requests per second
)

// loadRun is a load test under way.
type loadRun struct {
	LoadTest
	dir     string
	program string
	admin   string           // address of the plain router's admin interface
	plain   *routerProcess   // the router that most streams go through
	routers []*routerProcess // all that were started
	echo    echoServers
	results []LoadResult
}

// RunLoadTest measures the streams of a load test, with routers of the named program. Everything that it starts has ended when
// it returns.
func RunLoadTest(ctx context.Context, test LoadTest, program string) ([]LoadResult, error) {
	dir, err := os.MkdirTemp("", "hmchaos-load-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	run := &loadRun{LoadTest: test, dir: dir, program: program}
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		run.echo.wait()
	}()
	defer func() {
		for _, r := range run.routers {
			r.stop(syscall.SIGKILL)
		}
	}()
	servers, err := run.startServers(ctx, run.endpointsFile(), nil)
	if err != nil {
		return nil, err
	}
	if err := run.startPlain(ctx); err != nil {
		return nil, err
	}
	idle, err := openIdleConnections(run.plain.address, test.IdleConnections)
	defer closeAll(idle)
	if err != nil {
		return nil, err
	}
	if err := run.measureAll(ctx, servers); err != nil {
		return nil, err
	}
	return run.results, run.plain.stop(syscall.SIGTERM)
}

// measureAll measures the stream straight and through the router, and then whatever else the test asks for.
func (run *loadRun) measureAll(ctx context.Context, servers []string) error {
	if err := run.warmUp(ctx, run.plain); err != nil {
		return err
	}
	straight, err := runStream(ctx, run.LoadTest, servers)
	if err != nil {
		return err
	}
	straight.Path = "straight"
	run.results = append(run.results, straight)
	if _, err := run.measure(ctx, "through the router", run.LoadTest, run.plain); err != nil {
		return err
	}
	for _, part := range []struct {
		wanted  int
		measure func(context.Context) error
	}{
		{run.RecordingPairs, run.measureRecording},
		{run.PersistencePairs, run.measurePersistence},
		{run.TLSTriples, run.measureTLS},
		{run.UnknownFunctions, run.measureUnknownFunctions},
	} {
		if part.wanted <= 0 {
			continue
		}
		if err := part.measure(ctx); err != nil {
			return err
		}
	}
	return nil
}

// measure measures one stream through a router, with what it costs the router's process.
func (run *loadRun) measure(ctx context.Context, path string, test LoadTest, router *routerProcess) (LoadResult, error) {
	pid := router.pid()
	before := cpuTime(pid)
	test.secure = router.secure
	result, err := runStream(ctx, test, []string{router.address})
	result.Path, result.MemoryKB = path, residentKB(pid)
	result.CPUPerRequest = float64((cpuTime(pid) - before).Microseconds()) / float64(max(1, result.Requests))
	run.results = append(run.results, result)
	return result, err
}

// warmUp sends a short stream through a router, which isn't measured.
func (run *loadRun) warmUp(ctx context.Context, router *routerProcess) error {
	test := run.LoadTest
	test.Length, test.Rate, test.secure = warmUpTime, min(run.Rate, warmUpRate), router.secure
	_, err := runStream(ctx, test, []string{router.address})
	return err
}

// lastResult is the stream that was measured last.
func (run *loadRun) lastResult() *LoadResult { return &run.results[len(run.results)-1] }

// measureUnknownFunctions has functions requested that no server has, and measures the stream again.
func (run *loadRun) measureUnknownFunctions(ctx context.Context) error {
	unknown := run.LoadTest
	unknown.functionPrefix, unknown.Functions = unknownPrefix, run.UnknownFunctions
	unknown.Length = time.Duration(float64(run.UnknownFunctions) / float64(run.Rate) * float64(time.Second))
	if _, err := run.measure(ctx, "strangers", unknown, run.plain); err != nil {
		return err
	}
	_, err := run.measure(ctx, "router, after them", run.LoadTest, run.plain)
	return err
}

// endpointsFile has the endpoint list of all routers that reach servers without TLS.
func (run *loadRun) endpointsFile() string { return filepath.Join(run.dir, "workers.ini") }

// startServers starts echo servers and writes their endpoint list.
func (run *loadRun) startServers(ctx context.Context, file string, secure func(net.Conn) (net.Conn, error)) (addresses []string, err error) {
	var list bytes.Buffer
	for i := range run.Servers {
		address, err := run.echo.start(ctx, secure)
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
		fmt.Fprintf(&list, "[%d]\naddress = %s\n", i, address)
	}
	return addresses, os.WriteFile(file, list.Bytes(), 0o600)
}

func (run *loadRun) startPlain(ctx context.Context) (err error) {
	if run.admin, err = freeAddress(); err != nil {
		return err
	}
	run.plain, err = run.startRouter(ctx, loadRouterConfig{name: "router", endpoints: run.endpointsFile(), admin: run.admin})
	return err
}
