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

// LoadTest describes a steady stream of requests that servers answer immediately. It is sent through one router, and directly to
// the same servers.
type LoadTest struct {
	Rate             int // requests per second
	Length           time.Duration
	Connections      int
	Servers          int
	Functions        int
	IdleConnections  int // further client connections, without requests
	TensorBytes      int // per request
	RecordingPairs   int // pairs of streams to measure, one of each while the router records
	PersistencePairs int // pairs of streams to measure, one of each through a router that persists its state
	TLSTriples       int // triples of streams to measure: without TLS, with TLS, and with TLS while certificates are rotated
	UnknownFunctions int // distinct functions that no server has, which are requested before the stream is measured again

	functionPrefix string         // of the functions' names
	handshake      rest.Handshake // nil: no TLS
}

// LoadResult is the result of one stream. Latencies are in microseconds. They start when a request was due if its connection was
// still busy then, so that a stall counts for all requests that it delayed, and otherwise when the request was sent.
type LoadResult struct {
	Path             string
	Requests, Failed int64
	P50, P99, P999   int64
	CPUPerRequest    float64 // microseconds of the router's processor time
	MemoryKB         int64   // the router's resident memory at the end
	Throughput       float64 // achieved requests per second
	RecordedBytes    float64 // per request
	LostSteps        uint64  // steps of the event loop that the recordings lost
	ReplaySpeed      float64 // recorded time divided by the time that its replay took
	Ratios           []Ratio // of streams with a feature enabled to those without it
	Note             string
}

// Length and maximum rate of the stream that warms up a router before it is measured.
const (
	warmUpTime = time.Second
	warmUpRate = 1000 // requests per second
)

// loadRun is a load test in progress.
type loadRun struct {
	LoadTest
	dir     string
	program string
	admin   string           // address of the plain router's admin interface
	plain   *routerProcess   // the router without TLS and persisted state
	routers []*routerProcess // all routers that were started
	echo    echoServers
	results []LoadResult
}

// RunLoadTest measures the streams of a load test with routers started from the given executable. Everything that it starts has
// ended when it returns.
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

// measureAll measures the stream directly and through the router, and then the other streams that the test asks for.
func (run *loadRun) measureAll(ctx context.Context, servers []string) error {
	if err := run.warmUp(ctx, run.plain); err != nil {
		return err
	}
	direct, err := runStream(ctx, run.LoadTest, servers)
	if err != nil {
		return err
	}
	direct.Path = "straight"
	run.results = append(run.results, direct)
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

// measure measures one stream through a router, and the CPU time and memory of the router's process.
func (run *loadRun) measure(ctx context.Context, path string, test LoadTest, router *routerProcess) (LoadResult, error) {
	pid := router.pid()
	before := cpuTime(pid)
	test.handshake = router.handshake
	result, err := runStream(ctx, test, []string{router.address})
	result.Path, result.MemoryKB = path, residentKB(pid)
	result.CPUPerRequest = float64((cpuTime(pid) - before).Microseconds()) / float64(max(1, result.Requests))
	run.results = append(run.results, result)
	return result, err
}

// warmUp sends a short stream through a router without measuring it.
func (run *loadRun) warmUp(ctx context.Context, router *routerProcess) error {
	test := run.LoadTest
	test.Length, test.Rate, test.handshake = warmUpTime, min(run.Rate, warmUpRate), router.handshake
	_, err := runStream(ctx, test, []string{router.address})
	return err
}

// lastResult returns the result of the stream that was measured last.
func (run *loadRun) lastResult() *LoadResult { return &run.results[len(run.results)-1] }

// measureUnknownFunctions requests functions that no server has, and then measures the stream again.
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

// endpointsFile returns the name of the endpoint list file of all routers that connect to servers without TLS.
func (run *loadRun) endpointsFile() string { return filepath.Join(run.dir, "workers.ini") }

// startServers starts echo servers and writes their endpoint list.
func (run *loadRun) startServers(ctx context.Context, file string, handshake func(net.Conn) (net.Conn, error)) (addresses []string, err error) {
	var list bytes.Buffer
	for i := range run.Servers {
		address, err := run.echo.start(ctx, handshake)
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
