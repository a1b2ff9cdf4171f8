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

// Options are the settings of a run that the scenario does not determine.
type Options struct {
	RouterPath     string // path of the router binary
	RouterLogLevel string
	Dir            string   // each run creates a directory in it for its routers' logs
	Env            []string // additional environment variables of the routers
}

// Result holds the totals of a run and the violations found.
type Result struct {
	Counts
	Scenario   *Scenario
	Violations []Violation
	Collapses  int           // servers that collapsed in slow start, for whatever reason
	MaxLag     time.Duration // largest scheduling lag of this process
	LogDir     string
}

// Passed reports whether the run found no violation.
func (r *Result) Passed() bool { return len(r.Violations) == 0 }

func (r *Result) String() string {
	s := r.Scenario
	return fmt.Sprintf("seed %d: %d routers, %d servers, crowd %t, %d faults: %d requests, served %.3f, in time %.3f, rejected %.3f, failed %.3f; "+
		"%d falls in slow start; own lag %v; %d breaks", s.Seed, s.Routers, s.Servers, s.MalformedClients, len(s.Faults), r.Requests, r.share(r.Served),
		r.share(r.InTime), r.share(r.Rejected), r.share(r.Failed), r.Collapses, r.MaxLag.Round(time.Millisecond), len(r.Violations))
}

func (r *Result) share(n int) float64 { return float64(n) / float64(max(1, r.Requests)) }

// run is the state of one run.
type run struct {
	scenario   *Scenario
	options    Options
	dir        string
	id         int64 // unique within this process
	ledger     *ledger
	lag        *lagMeter
	discovery  *discoveryService
	routers    []*router
	goroutines sync.WaitGroup

	collapses           atomic.Int64
	disruptingResponses atomic.Bool
	trafficFactor       atomic.Uint64 // factor of the request rate, as the bits of a float64
	trafficStopped      atomic.Bool   // no new requests are sent

	mu           sync.Mutex
	random       *rand.Rand // for decisions made during the run
	servers      []*listedServer
	popularity   []float64 // cumulative distribution of requests over functions
	relativeWork []float64 // per function: its mean execution time as a multiple of the overall mean
	loadTimes    []time.Duration
	loadCommands []time.Time // when servers received load commands
	nextServer   int
	nextRequest  uint64
}

// runCount counts the runs of this process.
var runCount atomic.Int64

// addressKind is what a loopback address is used for.
type addressKind int

const (
	routerAddresses addressKind = iota
	serverAddresses
)

// hostAddress returns a loopback address that no other concurrent run uses.
func (r *run) hostAddress(kind addressKind, number int) string {
	const firstNet, maxProcesses, netsPerRun, maxRuns = 64, 128, 2, 120
	return fmt.Sprintf("127.%d.%d.%d", firstNet+os.Getpid()%maxProcesses, int(r.id%maxRuns)*netsPerRun+int(kind), 1+number%250)
}

// Run runs a scenario.
func Run(ctx context.Context, s *Scenario, options Options) (*Result, error) {
	lag := &lagMeter{}
	r := &run{scenario: s, options: options, id: runCount.Add(1), lag: lag, random: newRandom(s.Seed, "run"), nextRequest: s.Seed << 32}
	r.setTrafficFactor(1)
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
	if err := r.execute(ctx); err != nil {
		return nil, fmt.Errorf("seed %d (logs in %s): %w", s.Seed, r.dir, err)
	}
	r.ledger.checkResponses()
	result := &Result{Counts: r.ledger.count(), Scenario: s, Violations: r.ledger.violations, Collapses: int(r.collapses.Load()),
		MaxLag: lag.max(), LogDir: r.dir}
	if result.Passed() {
		result.LogDir = ""
		return result, os.RemoveAll(r.dir)
	}
	return result, nil
}

// execute starts servers, routers and clients, injects the faults, and stops everything.
func (r *run) execute(ctx context.Context) error {
	var err error
	if r.discovery, err = newDiscoveryService(r.scenario.DiscoveryAnswerDelay); err != nil {
		return err
	}
	defer r.goroutines.Wait()
	defer r.discovery.close()
	r.drawFunctions()
	defer r.stopServers()
	if err := r.startServers(); err != nil {
		return err
	}
	defer r.killAllRouters()
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
		clients.Go(r.runMalformedClients)
	}
	for _, fault := range r.scenario.Faults {
		faults.Go(func() {
			if r.sleep(ctx, time.Until(r.ledger.startedAt.Add(fault.At))) {
				r.inject(ctx, fault)
			}
		})
	}
	r.sleep(ctx, r.scenario.TrafficDuration)
	r.trafficStopped.Store(true)
	clients.Wait()
	faults.Wait()
	var stopping sync.WaitGroup
	for _, router := range r.routers {
		stopping.Go(router.stop)
	}
	stopping.Wait()
	return ctx.Err()
}

// sleep waits for a duration. It returns false if the run was cancelled.
func (r *run) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// randomFloat returns a random number in [0, 1).
func (r *run) randomFloat() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Float64()
}

func (r *run) setTrafficFactor(factor float64) { r.trafficFactor.Store(math.Float64bits(factor)) }

// currentRate returns the current request rate of all clients together, per second.
func (r *run) currentRate() float64 {
	return math.Float64frombits(r.trafficFactor.Load()) * r.scenario.requestRate()
}

// trafficEnded reports whether clients must send no new requests.
func (r *run) trafficEnded() bool { return r.trafficStopped.Load() }

// maxResponseWait returns the longest time that a client waits for a response.
func (r *run) maxResponseWait() time.Duration {
	longest := time.Duration(0)
	for _, class := range r.scenario.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest + time.Second
}

// drawFunctions draws the popularity, execution time and load time of each function.
func (r *run) drawFunctions() {
	random := newRandom(r.scenario.Seed, "functions")
	const exponent, offset = 1.3, 3 // of a Zipf-Mandelbrot distribution
	spread := r.scenario.ExecutionTimeSigma
	sum, workSum := 0.0, 0.0
	for n := range r.scenario.Functions {
		share := math.Pow(float64(n)+offset, -exponent)
		work := math.Exp(spread * random.NormFloat64())
		sum += share
		workSum += share * work
		r.popularity = append(r.popularity, sum)
		r.relativeWork = append(r.relativeWork, work)
		r.loadTimes = append(r.loadTimes, time.Duration(float64(r.scenario.MeanLoadTime)*math.Exp(spread*random.NormFloat64())))
	}
	for n := range r.popularity {
		r.popularity[n] /= sum
		r.relativeWork[n] *= sum / workSum // so that the mean over all requests is 1
	}
}

// drawRequest draws the parameters of a request.
func (r *run) drawRequest(random *rand.Rand) requestParams {
	pick, function := random.Float64(), 0
	for function < len(r.popularity)-1 && r.popularity[function] < pick {
		function++
	}
	class := r.drawClass(random)
	variation := r.scenario.ExecutionTimeSigma
	factor := math.Exp(variation*random.NormFloat64() - variation*variation/2)
	timeout := class.Deadline
	if random.Float64() < r.scenario.ShortDeadlineShare {
		timeout = max(time.Millisecond, time.Duration(0.2*random.Float64()*float64(timeout)))
	}
	return requestParams{class: class, timeout: timeout.Round(time.Millisecond), function: functionID(function),
		key:  fmt.Sprintf("%016x%016x", random.Uint64(), random.Uint64()),
		work: time.Duration(float64(r.scenario.MeanExecutionTime) * r.relativeWork[function] * factor)}
}

// drawClass draws a class, each with a probability proportional to its Share.
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
	return &r.scenario.Classes[0] // only after a rounding error in the sum
}

// firstFunctionID is the ID of the first function; the others follow it.
const firstFunctionID = 0x7f3a9c21e0b40000

// functionID returns the ID of the nth function.
func functionID(n int) uint64 { return firstFunctionID + uint64(n) }

// loadTime returns how long it takes to load a function, given its ID.
func (r *run) loadTime(function uint64) time.Duration {
	return r.loadTimes[int(function-firstFunctionID)%len(r.loadTimes)]
}

// newRequestID returns an ID that is unique within the run.
func (r *run) newRequestID() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextRequest++
	return r.nextRequest
}

// recordLoadCommand records that a server received a load command, and checks the rate limit.
func (r *run) recordLoadCommand() {
	now := time.Now()
	r.mu.Lock()
	r.loadCommands = append(r.loadCommands, now)
	r.mu.Unlock()
	r.checkLoadRate(now)
}

// checkLoadRate checks the load commands of all routers in the window that ends now against the limit. The limit counts all
// requests that clients sent in the window, whether or not routers had read them: so it is no stricter than the platform's.
func (r *run) checkLoadRate(now time.Time) {
	s := r.scenario
	if s.LoadRateWindow == 0 {
		return
	}
	from := now.Add(-s.LoadRateWindow)
	count := 0
	r.mu.Lock()
	for _, at := range r.loadCommands {
		if at.After(from) {
			count++
		}
	}
	r.mu.Unlock()
	sent := r.ledger.requestsSince(from.Add(-timingTolerance))
	if allowed := s.LoadRateBase*float64(s.Routers) + s.LoadRatePerRequest*float64(sent); float64(count) > allowed {
		r.ledger.report(now, RuleLoadRate, "%d load commands in %v, limit %.1f", count, s.LoadRateWindow, allowed)
	}
}

// pickRouter returns a random ready router for a client, or nil if there is none.
func (r *run) pickRouter(random *rand.Rand) *router {
	var ready []*router
	for _, router := range r.routers {
		if router.isReady() {
			ready = append(ready, router)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	// The exponent skews the choice, so that some routers get several times the mean.
	return ready[int(float64(len(ready))*math.Pow(random.Float64(), 1.5))]
}

// retryRequest sends a request again on a new connection.
func (r *run) retryRequest(params requestParams, retry int) {
	if r.trafficEnded() {
		return
	}
	r.goroutines.Go(func() {
		random := newRandom(r.newRequestID(), "retry")
		if router := r.pickRouter(random); router != nil {
			c := &client{run: r, random: random}
			c.withConnection(router, func(cc *clientConn) { cc.sendRequest(params, retry) })
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

// killAllRouters kills the router processes that are still running.
func (r *run) killAllRouters() {
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
