package chaostest

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"hollymast/internal/rest"
)

// Load is a steady stream of jobs of no work, through one router and straight to the same servers.
type LoadTest struct {
	Rate             int // jobs a second
	Length           time.Duration
	Connections      int
	Servers          int
	Functions        int
	IdleConnections  int    // further client connections that do nothing
	TensorBytes      int    // of tensors a job
	functionPrefix   string // of functions' names
	secure           rest.Handshake
	RecordingPairs   int // pairs of streams, one while the router records and one while it does not
	PersistencePairs int // pairs of streams, one through a further router that has a memory
	TLSTriples       int // triples of streams: in plain text, over TLS, and over TLS while keys change
	UnknownFunctions int // distinct functions that no server has, asked for before the stream is measured a second time
}

// Measured is what one stream met. Times are microseconds from when each job was due, if its connection was still busy
// then, so that a stall counts for all jobs that it kept waiting; else from its sending.
type LoadResult struct {
	Path             string
	Requests, Failed int64
	P50, P99, P999   int64
	CPUPerRequest    float64 // microseconds of the router's processor time a job
	MemoryKB         int64   // kilobytes resident in the router at the end
	Throughput       float64 // jobs a second that were kept up
	RecordedBytes    float64 // bytes a job on disk
	LostSteps        uint64  // turns that the recording lost
	ReplaySpeed      float64 // how many times as fast as it was recorded
	Ratios           []Ratio // with over without, within pairs
	Note             string
}

// MeasureLoad runs the stream straight and through a router of the named program, in one run.
func RunLoadTest(ctx context.Context, load LoadTest, program string) (measured []LoadResult, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dir, err := os.MkdirTemp("", "hmchaos-load-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	var servers []string
	var list bytes.Buffer
	for i := range load.Servers {
		a, err := startEchoServer(ctx, nil)
		if err != nil {
			return nil, err
		}
		servers = append(servers, a)
		fmt.Fprintf(&list, "[%d]\naddress = %s\n", i, a)
	}
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	admin, err := freeAddress()
	if err != nil {
		return nil, err
	}
	r := &routerProcess{configFile: filepath.Join(dir, "router.ini")}
	settings := fmt.Sprintf(`[router]
listen = %s
admin = %s
list = %s
log = warn
[servers]
orders = no
[bounds]
per_server = 4096
[workload any]
start_target = 1s
effect = restartable
[function *]
workload = any
lanes = 1024
`, address, admin, filepath.Join(dir, "workers.ini"))
	for name, text := range map[string]string{r.configFile: settings, filepath.Join(dir, "workers.ini"): list.String()} {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	if err := r.start(program, dir); err != nil {
		return nil, err
	}
	defer r.stop(syscall.SIGKILL)
	p := &harness{addresses: []string{address}, routers: []*routerProcess{r}, pools: []*clientPool{{address: address}}}
	if err := p.awaitReady(ctx, 0); err != nil {
		return nil, err
	}
	idle := make([]net.Conn, 0, load.IdleConnections)
	defer func() {
		for _, nc := range idle {
			nc.Close()
		}
	}()
	for range load.IdleConnections {
		nc, err := net.Dial("tcp", address)
		if err != nil {
			return nil, err
		}
		idle = append(idle, nc)
	}
	warm := load
	warm.Length, warm.Rate = time.Second, min(load.Rate, 1000)
	if _, err := runStream(ctx, warm, []string{address}); err != nil {
		return nil, err
	}
	straight, err := runStream(ctx, load, servers)
	if err != nil {
		return nil, err
	}
	straight.Path = "straight"
	pid := r.cmd.Process.Pid
	throughAt := func(path string, load LoadTest, address string, pid int) (LoadResult, error) {
		m, err := measureThrough(ctx, path, load, address, pid)
		measured = append(measured, m)
		return m, err
	}
	through := func(path string, load LoadTest) (LoadResult, error) { return throughAt(path, load, address, pid) }
	measured = append(measured, straight)
	if _, err := through("through the router", load); err != nil {
		return nil, err
	}
	if load.RecordingPairs > 0 {
		m, err := measureRecording(load, func() (LoadResult, error) { return through("router", load) }, func(target string) error {
			return callAdmin(ctx, admin, target)
		}, filepath.Join(dir, "recording"))
		if err != nil {
			return nil, err
		}
		last := &measured[len(measured)-1]
		last.RecordedBytes, last.LostSteps, last.ReplaySpeed, last.Ratios = m.RecordedBytes, m.LostSteps, m.ReplaySpeed, m.Ratios
	}
	if load.PersistencePairs > 0 {
		other := &routerProcess{number: 1, configFile: filepath.Join(dir, "remembering.ini")}
		beside, err := freeAddress()
		if err != nil {
			return nil, err
		}
		text := strings.Replace(settings, address, beside, 1) + fmt.Sprintf("[memory]\nfolder = %s\nevery = 1s\n", filepath.Join(dir, "memory"))
		text = strings.Replace(text, "admin = "+admin+"\n", "", 1)
		if err := os.WriteFile(other.configFile, []byte(text), 0o600); err != nil {
			return nil, err
		}
		if err := other.start(program, dir); err != nil {
			return nil, err
		}
		defer other.stop(syscall.SIGKILL)
		p.addresses, p.routers, p.pools = append(p.addresses, beside), append(p.routers, other), append(p.pools, &clientPool{address: beside})
		if err := p.awaitReady(ctx, 1); err != nil {
			return nil, err
		}
		if _, err := runStream(ctx, warm, []string{beside}); err != nil {
			return nil, err
		}
		ratios, err := measurePairs(load.PersistencePairs, func(on bool, _ int) (LoadResult, error) {
			if !on {
				return through("router", load)
			}
			return throughAt("router, memory", load, beside, other.cmd.Process.Pid)
		})
		if err != nil {
			return nil, err
		}
		measured[len(measured)-1].Ratios = ratios
	}
	if load.TLSTriples > 0 {
		more, err := measureTLS(ctx, load, program, dir, settings, address, pid)
		measured = append(measured, more...)
		if err != nil {
			return nil, err
		}
	}
	if load.UnknownFunctions > 0 {
		alien := load
		alien.functionPrefix, alien.Functions = unknownPrefix[1:], load.UnknownFunctions
		alien.Length = time.Duration(float64(load.UnknownFunctions) / float64(load.Rate) * float64(time.Second))
		if _, err := through("strangers", alien); err != nil {
			return nil, err
		}
		if _, err := through("router, after them", load); err != nil {
			return nil, err
		}
	}
	return measured, r.stop(syscall.SIGTERM)
}

// costing measures one stream through a router, with what it costs its process.
func measureThrough(ctx context.Context, path string, load LoadTest, address string, pid int) (LoadResult, error) {
	before := cpuTime(pid)
	m, err := runStream(ctx, load, []string{address})
	m.Path, m.MemoryKB = path, residentKB(pid)
	m.CPUPerRequest = float64((cpuTime(pid) - before).Microseconds()) / float64(max(1, m.Requests))
	return m, err
}

// operate asks a router something at its admin address.
func callAdmin(ctx context.Context, admin, target string) error {
	c, err := rest.Dial(ctx, admin, &rest.DefaultLimits)
	if err != nil {
		return err
	}
	defer c.Close()
	p, _, err := c.Do(&rest.Request{Method: "POST", Target: target, Header: rest.Header{"Host": {admin}}}, time.Now().Add(10*time.Second))
	if err == nil && p.Status != 200 {
		err = fmt.Errorf("the router answers %d: %s", p.Status, p.Body)
	}
	return err
}
