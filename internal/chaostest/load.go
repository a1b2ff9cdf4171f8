package chaostest

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hollymast/internal/record"
	"hollymast/internal/replay"
	"hollymast/internal/rest"
	"hollymast/kserve"
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

// Ratio is a quantity's quartiles over pairs.
type Ratio struct {
	Quantity             string
	Lower, Median, Upper float64
}

// pairs measures streams in pairs, one with something on and one without, so that whatever else changes on the machine meets
// both alike; which of the two comes first alternates.
func measurePairs(n int, stretch func(on bool, pair int) (LoadResult, error)) ([]Ratio, error) {
	var cpu, p50, p99 []float64
	for pair := range n {
		var with, without LoadResult
		for half := range 2 {
			on := half == pair%2
			m, err := stretch(on, pair)
			if err != nil {
				return nil, err
			}
			if on {
				with = m
			} else {
				without = m
			}
		}
		cpu = append(cpu, with.CPUPerRequest/without.CPUPerRequest)
		p50, p99 = append(p50, float64(with.P50)/float64(without.P50)), append(p99, float64(with.P99)/float64(without.P99))
	}
	return []Ratio{quartiles("CPU a job", cpu), quartiles("p50", p50), quartiles("p99", p99)}, nil
}

// recorded measures pairs, one of each while the router records, and replays what it recorded.
func measureRecording(load LoadTest, through func() (LoadResult, error), operate func(target string) error, dir string) (sum LoadResult, err error) {
	jobs, size, took, length := int64(0), int64(0), time.Duration(0), 0.0
	sum.Ratios, err = measurePairs(load.RecordingPairs, func(on bool, pair int) (LoadResult, error) {
		if !on {
			return through()
		}
		folder := filepath.Join(dir, strconv.Itoa(pair))
		if err := operate("/router/record/start?folder=" + folder); err != nil {
			return LoadResult{}, err
		}
		m, err := through()
		if err != nil {
			return m, err
		}
		if err := operate("/router/record/stop"); err != nil {
			return m, err
		}
		files, err := record.ListSegments(folder)
		if err != nil {
			return m, err
		}
		for _, f := range files {
			if info, err := os.Stat(f); err == nil {
				size += info.Size()
			}
		}
		begun := time.Now()
		a, err := replay.Play(files, replay.Range{})
		took += time.Since(begun)
		length += float64(a.Last-a.First) / 1e6
		jobs += m.Requests
		sum.LostSteps += a.LostSteps
		return m, err
	})
	if err == nil {
		sum.RecordedBytes, sum.ReplaySpeed = float64(size)/float64(max(1, jobs)), length/took.Seconds()
	}
	return sum, err
}

func quartiles(of string, xs []float64) Ratio {
	slices.Sort(xs)
	at := func(q float64) float64 { return xs[int(q*float64(len(xs)-1)+0.5)] }
	return Ratio{of, at(0.25), at(0.5), at(0.75)}
}

// strangers begins the names of functions that no server has.
const unknownPrefix = "/strangers-"

// echo is a server that answers every job at once. It is kept apart from the stand-ins so that only wires are measured.
func startEchoServer(ctx context.Context, secure func(net.Conn) (net.Conn, error)) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		<-ctx.Done()
		l.Close()
	}()
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				stop := context.AfterFunc(ctx, func() { nc.Close() })
				defer stop()
				if secure != nil {
					if nc, err = secure(nc); err != nil {
						return
					}
				}
				c := rest.NewConn(nc, &rest.DefaultLimits, nil)
				answer := &rest.Response{Status: 200, Header: rest.Header{"Content-Type": {"application/json"}},
					Body: []byte(`{"model_name":"m","parameters":{"found":"warm"},"outputs":[]}`)}
				for {
					q, err := c.ReadRequest()
					if err != nil {
						return
					}
					p := answer
					if strings.Contains(q.Target, unknownPrefix) {
						p = &rest.Response{Status: 404, Header: rest.Header{}, Body: kserve.Fault{Error: "no such model"}.Body()}
					}
					if c.WriteResponse(p) != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), nil
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

// stream sends a steady stream of jobs to addresses in turn.
func runStream(ctx context.Context, load LoadTest, addresses []string) (LoadResult, error) {
	total := int64(float64(load.Rate) * load.Length.Seconds())
	var next, failed atomic.Int64
	var wg sync.WaitGroup
	var mu sync.Mutex
	all := hdrhistogram.New(1, 60_000_000, 3)
	tensors := strings.Repeat("1,", max(0, load.TensorBytes/2)) + "1"
	var firstErr error
	var connected sync.WaitGroup
	connected.Add(load.Connections)
	var begun time.Time
	start := make(chan struct{}) // closed once all are connected: what that costs is measured by itself
	for n := range load.Connections {
		wg.Add(1)
		go func() {
			defer wg.Done()
			h := hdrhistogram.New(1, 60_000_000, 3)
			c, err := rest.DialWith(ctx, addresses[n%len(addresses)], &rest.DefaultLimits, load.secure)
			connected.Done()
			<-start
			if err != nil {
				mu.Lock()
				firstErr = err
				mu.Unlock()
				return
			}
			defer func() { c.Close() }()
			for ctx.Err() == nil {
				i := next.Add(1) - 1
				if i >= total {
					break
				}
				due := begun.Add(time.Duration(float64(i) / float64(load.Rate) * float64(time.Second)))
				if d := time.Until(due); d > 0 {
					time.Sleep(d)
					due = time.Now() // a late waking is ours, not the path's
				}
				q := &rest.Request{Method: "POST", Target: "/v2/models/" + load.functionPrefix + "f" + strconv.FormatInt(i%int64(load.Functions), 10) + "/infer",
					Header: rest.Header{"Host": {"load"}, "Content-Type": {"application/json"}},
					Body:   []byte(`{"id":"1","parameters":{"timeout":10000000},"inputs":[{"name":"x","shape":[1],"datatype":"FP32","data":[` + tensors + `]}]}`)}
				p, _, err := c.Do(q, time.Now().Add(20*time.Second))
				if err != nil || p.Status != 200 {
					failed.Add(1)
				}
				if err != nil {
					c.Close()
					if c, err = rest.DialWith(ctx, addresses[n%len(addresses)], &rest.DefaultLimits, load.secure); err != nil {
						return
					}
					continue
				}
				h.RecordValue(max(1, time.Since(due).Microseconds()))
			}
			mu.Lock()
			all.Merge(h)
			mu.Unlock()
		}()
	}
	connected.Wait()
	begun = time.Now()
	close(start)
	wg.Wait()
	return LoadResult{Requests: all.TotalCount(), Failed: failed.Load(), P50: all.ValueAtQuantile(50), P99: all.ValueAtQuantile(99),
		P999: all.ValueAtQuantile(99.9), Throughput: float64(all.TotalCount()) / time.Since(begun).Seconds()}, firstErr
}

// cpuTime is a process's time on processors, from /proc/PID/stat (proc(5): fields 14 and 15, in ticks of 10 ms).
func cpuTime(pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond
}

// resident is a process's resident memory in kilobytes.
func residentKB(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	n, _ := strconv.ParseInt(fields[0], 10, 64)
	return n
}
