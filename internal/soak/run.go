package soak

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Options are what a run does not draw.
type Options struct {
	RouterPath     string   // the router's program
	RouterLogLevel string   // its log level
	Dir            string   // where each run keeps its routers' logs, in a folder of its own
	Env            []string // set for the routers beside this process's environment
}

// Result is how a run ended.
type Result struct {
	Counts
	Scenario   *Scenario
	Violations []Violation
	Collapses  int           // servers in slow start that fell, for whatever reason
	MaxLag     time.Duration // by how much this process itself ran late at most
	LogDir     string
}

// Passed reports whether no rule was broken.
func (r *Result) Passed() bool { return len(r.Violations) == 0 }

func (r *Result) String() string {
	s := r.Scenario
	return fmt.Sprintf("seed %d: %d routers, %d servers, crowd %t, %d faults: %d requests, served %.3f, in time %.3f, rejected %.3f, failed %.3f; "+
		"%d falls in slow start; own lag %v; %d breaks", s.Seed, s.Routers, s.Servers, s.MalformedClients, len(s.Faults), r.Requests, r.share(r.Served),
		r.share(r.InTime), r.share(r.Rejected), r.share(r.Failed), r.Collapses, r.MaxLag.Round(time.Millisecond), len(r.Violations))
}

func (r *Result) share(n int) float64 { return float64(n) / float64(max(1, r.Requests)) }

// run is one run while it is played.
type run struct {
	scenario  *Scenario
	options   Options
	dir       string
	slot      int64 // tells runs of this process apart
	ledger    *ledger
	lag       *lagMeter
	discovery *discoveryService
	routers   []*router
	goes      sync.WaitGroup

	falls         atomic.Int64
	losingAnswers atomic.Bool
	traffic       atomic.Uint64 // the rate's factor, as bits of a float64
	over          atomic.Bool   // no new requests

	mu          sync.Mutex
	random      *rand.Rand // of choices that are made in the course of the run
	servers     []*serverSlot
	popular     []float64 // cumulated shares of the functions
	work        []float64 // by function: its execution time as a multiple of the mean
	loadTimes   []time.Duration
	loads       []time.Time // load commands that servers got
	nextServer  int
	nextRequest uint64
}

// slots counts the runs of this process.
var slots atomic.Int64

// hostKind is what listens on an address.
type hostKind int

const (
	hostRouters hostKind = iota
	hostServers
)

// hostAddress returns a loopback address that no other run uses.
func (r *run) hostAddress(kind hostKind, number int) string {
	const first, processes, hostsPerKind, slotSpan = 64, 128, 2, 120
	return fmt.Sprintf("127.%d.%d.%d", first+os.Getpid()%processes, int(r.slot%slotSpan)*hostsPerKind+int(kind), 1+number%250)
}

// Run plays a scenario.
func Run(ctx context.Context, s *Scenario, options Options) (*Result, error) {
	lag := &lagMeter{}
	r := &run{scenario: s, options: options, slot: slots.Add(1), lag: lag, random: newRandom(s.Seed, "run"), nextRequest: s.Seed << 32}
	r.setTraffic(1)
	var err error
	if r.dir, err = os.MkdirTemp(options.Dir, fmt.Sprintf("soak-%d-", s.Seed)); err != nil {
		return nil, err
	}
	r.ledger = newLedger(s, lag)
	measuring, stopMeasuring := context.WithCancel(ctx)
	var meter sync.WaitGroup
	meter.Go(func() { lag.run(measuring) })
	defer meter.Wait()
	defer stopMeasuring()
	if err := r.play(ctx); err != nil {
		return nil, fmt.Errorf("seed %d (logs in %s): %w", s.Seed, r.dir, err)
	}
	r.ledger.judgeAnswers()
	result := &Result{Counts: r.ledger.count(), Scenario: s, Violations: r.ledger.breaks, Collapses: int(r.falls.Load()), MaxLag: lag.largest(), LogDir: r.dir}
	if result.Passed() {
		result.LogDir = ""
		return result, os.RemoveAll(r.dir)
	}
	return result, nil
}

// play sets everything up, plays the faults under traffic, and ends all.
func (r *run) play(ctx context.Context) error {
	var err error
	if r.discovery, err = newDiscoveryService(); err != nil {
		return err
	}
	defer r.goes.Wait()
	defer r.discovery.close()
	r.drawFunctions()
	defer r.stopServers()
	if err := r.startServers(); err != nil {
		return err
	}
	defer r.killRouters()
	if err := r.startRouters(); err != nil {
		return err
	}
	r.ledger.startedAt = time.Now()
	var clients, faults sync.WaitGroup
	for n := range clientsPerRouter * r.scenario.Routers {
		c := &client{run: r, random: newRandom(r.scenario.Seed, fmt.Sprintf("client %d", n))}
		clients.Go(c.serve)
	}
	if r.scenario.MalformedClients {
		clients.Go(r.crowd)
	}
	for _, fault := range r.scenario.Faults {
		faults.Go(func() {
			if r.sleep(ctx, time.Until(r.ledger.startedAt.Add(fault.At))) {
				r.inject(ctx, fault)
			}
		})
	}
	r.sleep(ctx, r.scenario.TrafficDuration)
	r.over.Store(true)
	clients.Wait()
	faults.Wait()
	var stops sync.WaitGroup
	for _, router := range r.routers {
		stops.Go(router.stop)
	}
	stops.Wait()
	return ctx.Err()
}

// sleep waits; false: the run was cancelled.
func (r *run) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// chance returns a random number below 1.
func (r *run) chance() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Float64()
}

// setTraffic sets the factor of the request rate.
func (r *run) setTraffic(factor float64) { r.traffic.Store(math.Float64bits(factor)) }

// rate returns the present request rate of all clients.
func (r *run) rate() float64 {
	return math.Float64frombits(r.traffic.Load()) * r.scenario.requestRate()
}

// trafficOver reports whether no new requests are sent.
func (r *run) trafficOver() bool { return r.over.Load() }

// longestWait returns how long a client waits for an answer at most.
func (r *run) longestWait() time.Duration {
	longest := time.Duration(0)
	for _, class := range r.scenario.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest + time.Second
}

// drawFunctions draws the functions: how often each is called, and what it costs.
func (r *run) drawFunctions() {
	random := newRandom(r.scenario.Seed, "functions")
	const exponent, offset = 1.3, 3 // of a Zipf law
	spread := r.scenario.ExecutionTimeSigma
	sum, workSum := 0.0, 0.0
	for n := range r.scenario.Functions {
		share := math.Pow(float64(n)+offset, -exponent)
		work := math.Exp(spread * random.NormFloat64())
		sum += share
		workSum += share * work
		r.popular = append(r.popular, sum)
		r.work = append(r.work, work)
		r.loadTimes = append(r.loadTimes, time.Duration(float64(r.scenario.MeanLoadTime)*math.Exp(spread*random.NormFloat64())))
	}
	for n := range r.popular {
		r.popular[n] /= sum
		r.work[n] *= sum / workSum // so that the mean over all requests is 1
	}
}

// drawRequest draws a request.
func (r *run) drawRequest(random *rand.Rand) requestDraft {
	pick, function := random.Float64(), 0
	for function < len(r.popular)-1 && r.popular[function] < pick {
		function++
	}
	class := r.drawClass(random)
	variation := r.scenario.ExecutionTimeSigma
	factor := math.Exp(variation*random.NormFloat64() - variation*variation/2)
	timeout := class.Deadline
	if random.Float64() < r.scenario.ShortDeadlineShare {
		timeout = max(time.Millisecond, time.Duration(0.2*random.Float64()*float64(timeout)))
	}
	return requestDraft{class: class, timeout: timeout.Round(time.Millisecond), function: functionID(function), key: fmt.Sprintf("%016x%016x", random.Uint64(), random.Uint64()),
		work: time.Duration(float64(r.scenario.MeanExecutionTime) * r.work[function] * factor)}
}

func (r *run) drawClass(random *rand.Rand) *Class {
	sum := 0.0
	for _, class := range r.scenario.Classes {
		sum += class.Share
	}
	pick := random.Float64() * sum
	for n := range r.scenario.Classes {
		if pick -= r.scenario.Classes[n].Share; pick < 0 {
			return &r.scenario.Classes[n]
		}
	}
	return &r.scenario.Classes[0]
}

// firstFunction is the id of the first function; the others follow.
const firstFunction = 0x7f3a9c21e0b40000

func functionID(n int) uint64 { return firstFunction + uint64(n) }

// loadTime returns how long a function takes to load.
func (r *run) loadTime(function uint64) time.Duration {
	return r.loadTimes[int(function-firstFunction)%len(r.loadTimes)]
}

// newRequestID returns an id that no other request of the run has.
func (r *run) newRequestID() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextRequest++
	return r.nextRequest
}

// noteLoadCommand records a load command, for the limit on them.
func (r *run) noteLoadCommand() {
	now := time.Now()
	r.mu.Lock()
	r.loads = append(r.loads, now)
	r.mu.Unlock()
	r.judgeLoadRate(now)
}

// judgeLoadRate judges the load commands of all routers in the window that ends now. Requests that were sent in it count,
// whether routers had read them or not: the bound is no tighter than the platform's.
func (r *run) judgeLoadRate(now time.Time) {
	s := r.scenario
	if s.LoadRateWindow == 0 {
		return
	}
	from := now.Add(-s.LoadRateWindow)
	count := 0
	r.mu.Lock()
	for _, at := range r.loads {
		if at.After(from) {
			count++
		}
	}
	r.mu.Unlock()
	sent := r.ledger.sentSince(from.Add(-slack))
	if allowed := s.LoadRateBase*float64(s.Routers) + s.LoadRatePerRequest*float64(sent); float64(count) > allowed {
		r.ledger.report(now, RuleLoadRate, "%d load commands in %v, where %.1f are allowed", count, s.LoadRateWindow, allowed)
	}
}

// front returns a router for a client: one that is ready, or none.
func (r *run) front(random *rand.Rand) *router {
	var ready []*router
	for _, router := range r.routers {
		if router.isReady() {
			ready = append(ready, router)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	// Some routers get several times the mean.
	return ready[int(float64(len(ready))*math.Pow(random.Float64(), 1.5))]
}

// sendAgain sends a request again on a connection of its own.
func (r *run) sendAgain(draft requestDraft, retry int) {
	if r.trafficOver() {
		return
	}
	r.goes.Go(func() {
		random := newRandom(r.newRequestID(), "retry")
		if router := r.front(random); router != nil {
			c := &client{run: r, random: random}
			c.converse(router, func(cc *clientConn) { cc.sendRequest(draft, retry) })
		}
	})
}

// startRouters starts all routers and waits until they are ready.
func (r *run) startRouters() error {
	var starting sync.WaitGroup
	var mu sync.Mutex
	var errs []error
	for n := range r.scenario.Routers {
		router, err := newRouter(r, n)
		if err != nil {
			return err
		}
		r.routers = append(r.routers, router)
		starting.Go(func() {
			if err := router.start(); err != nil {
				mu.Lock()
				defer mu.Unlock()
				errs = append(errs, err)
			}
		})
	}
	starting.Wait()
	return errors.Join(errs...)
}

// killRouters ends what is left of all routers.
func (r *run) killRouters() {
	for _, router := range r.routers {
		router.mu.Lock()
		router.killedAt = time.Now()
		process := router.process
		router.mu.Unlock()
		if process != nil {
			process.Signal(syscall.SIGCONT)
			process.Kill()
		}
	}
}
