// Package platform runs a router as a network service: it connects client connections, server connections and the
// discovery service to one core. One goroutine runs the event loop, which owns the core and carries out the core's
// decisions. Each connection has its own goroutine. No step of the event loop blocks, and this package makes no
// routing decisions itself.
package platform

import (
	"container/list"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"hollymast/control"
	"hollymast/internal/acceptqueue"
	"hollymast/internal/attempt"
	"hollymast/internal/core"
	"hollymast/internal/discovery"
	"hollymast/internal/eventloop"
	"hollymast/internal/fleet"
	"hollymast/internal/pacing"
)

// Router is one router process: its listener, its connections and its event loop. Create it with New and run it with
// Serve.
type Router struct {
	config *Config
	log    zerolog.Logger
	loop   *eventloop.Loop // the clock, Post and PostEndpoints are shared; everything else belongs to the event loop

	// Owned by the event loop; no other goroutine accesses these fields.
	core            *core.Core
	fleet           *fleet.Fleet
	requests        map[control.RequestID]*request
	recentRequests  attempt.RecentRequests // non-idempotent ones, and those that are idempotent by key
	pools           map[control.ServerID]*serverPool
	serverConnCount int                              // server connections in all pools
	connsByIdle     *list.List                       // *serverConn, least recently used first
	removedPools    map[control.ServerID]*serverPool // pools of removed servers that still have connections
	lastPrunedAt    control.Micros
	stopRequestedAt control.Micros // 0: not stopping
	startup         startup
	endpointLog     endpointLog
	slowStarts      map[control.ServerID]*slowStart // servers in slow start that have been sent requests
	random          *rand.PCG                       // for the ids of load commands; no decision depends on it

	// Shared with other goroutines.
	connFuncs    serverConnFuncs
	stalls       stallDetector
	discovery    *discovery.Client
	ready        atomic.Bool
	listener     *net.TCPListener
	acceptEnded  chan struct{} // closed once no more connections are accepted
	drainQueueBy atomic.Int64  // until when the accept queue of the closing listener is emptied, on the router's clock; 0: it is not closing
	mu           sync.Mutex
	clients      map[*clientConn]struct{}
	anomalies    anomalyCounts
	// Counts for the state log line, reset each time it is logged.
	attemptEnds  counter[attemptResult]
	retries      counter[attemptResult] // by how the previous attempt ended
	requestEnds  counter[requestOutcome]
	clientCloses counter[clientClose]
	serverCloses counter[serverClose]
	// Peaks for the state log line in microseconds, reset each time it is logged.
	oldestEndpoints peak // age of the endpoint list at the first byte of an attempt
	afterDrain      peak // upper bound on how long after its server drained or was removed a first byte was written
	acceptBusy      peak // longest time that the accept loop spent on one connection before it accepted the next
	delayPeaks      delayPeaks
	messages        counter[messageKind]
	busiestClient   peak // most messages from one connection within busiestClientInterval

	clientBytes heldBytes
	clientRate  *pacing.Shared

	maxClients, maxServerConns int
}

const (
	// minSockets is the smallest socket limit with which a router can serve.
	minSockets = 128
	// reservedSockets is the number of descriptors reserved for the connections of the discovery client, the standard
	// streams, the poller, the listener, the configuration file, and the accepts and dials that may run ahead of the
	// counters.
	reservedSockets = discovery.MaxWatches + 38
)

// New returns a router for a configuration, with its listener open. It fails if the recorded endpoint history is
// invalid or if it can't listen on the address in time.
func New(config *Config, log zerolog.Logger) (*Router, error) {
	r := &Router{
		config: config, log: log, loop: eventloop.New(eventloop.NewClock(config.wallClock()), config.grace),
		requests: map[control.RequestID]*request{}, pools: map[control.ServerID]*serverPool{},
		clients: map[*clientConn]struct{}{}, slowStarts: map[control.ServerID]*slowStart{},
		fleet: fleet.New(0), connFuncs: defaultConnFuncs, acceptEnded: make(chan struct{}),
		random: rand.NewPCG(config.Seed, 0),
	}
	r.fleet.UseSourceClock()
	r.fleet.SetSlowStartDuration(config.Deployment.SlowStartDuration)
	r.clientRate = pacing.NewShared(config.Cores)
	// Well-behaved clients use up to a third of the sockets; the rest of this half is for silent clients.
	r.maxClients = config.Sockets / 2
	r.clientBytes.limits = control.ClientMemoryFor(int64(config.MemoryMB)<<20, r.maxClients)
	r.maxServerConns = config.Sockets - r.maxClients - reservedSockets
	deployment := config.Deployment
	deployment.Zone = r.fleet.ZoneID(config.zone)
	r.core = core.New(control.New(r.loop.Epoch, config.Seed, deployment), r)
	if err := r.traceRejections(); err != nil {
		return nil, err
	}
	var state discovery.State
	if err := state.Restore(config.History); err != nil {
		return nil, err
	}
	r.connsByIdle, r.removedPools = list.New(), map[control.ServerID]*serverPool{}
	r.handleEndpoints(r.loop.Epoch, state.Endpoints())
	r.discovery = discovery.NewClient(state, config.DiscoveryAddress, duration(config.grace), config.Seed, func(update fleet.Update) {
		r.loop.PostEndpoints(func(now control.Micros) { r.handleUpdate(now, update) })
	}, func(text string, err error) { r.log.Info().AnErr("why", err).Msg(text) })
	l, err := listenAt(config.Listen)
	if err != nil {
		return nil, err
	}
	r.listener = l.(*net.TCPListener)
	return r, nil
}

// listenFor is how long New retries to listen: the predecessor's process may still hold the address, or the machine
// may be short of resources. A restarted router is allowed several times as long to become ready.
const listenFor = 3 * time.Second

// listenAt listens on a TCP address. It retries for up to listenFor while the error may be temporary.
func listenAt(address string) (net.Listener, error) {
	for begin := time.Now(); ; time.Sleep(minRereadPause) {
		l, err := acceptqueue.Listen(address)
		retryable := slices.ContainsFunc([]error{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE,
			syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR}, func(temporary error) bool { return errors.Is(err, temporary) })
		if !retryable || time.Since(begin) > listenFor {
			return l, err
		}
	}
}

// Address returns the address on which the router listens for clients.
func (r *Router) Address() string { return r.listener.Addr().String() }

// duration converts microseconds to a time.Duration.
func duration(t control.Micros) time.Duration { return time.Duration(t) * time.Microsecond }

// Serve runs the event loop until ctx ends, followed by the graceful shutdown: it accepts requests for a short time,
// answers every request in flight, and returns once every client connection has been read to its end and closed.
func (r *Router) Serve(ctx context.Context) {
	background, stop := context.WithCancel(context.Background())
	var workers sync.WaitGroup
	defer workers.Wait()
	defer stop()
	workers.Go(func() { r.discovery.Run(background) })
	workers.Go(func() { r.detectStalls(background) })
	workers.Go(func() {
		defer close(r.acceptEnded)
		r.accept(r.listener)
	})
	defer r.listener.Close()
	r.runEventLoop(ctx.Done())
	r.logState()
	r.log.Info().Msg("no request is in flight any more")
	r.closeAll()
}

// runEventLoop runs the event loop until the router has been asked to stop and every client connection has ended.
func (r *Router) runEventLoop(stopRequested <-chan struct{}) {
	r.startup.pending = true
	started, rejectEarly := r.discovery.Started(), time.After(duration(r.earlyRequestsHeldFor()))
	acceptEnded, shuttingDown := r.acceptEnded, false
	var nextAction <-chan time.Time
	var actions []stopAction
	stateTicker := time.NewTicker(10 * time.Second)
	defer stateTicker.Stop()
	for {
		select {
		case <-r.loop.Ready():
		case <-r.loop.Timer():
		case <-stateTicker.C:
			r.logState()
			continue
		case <-started:
			started = nil
			r.loop.Post(r.endStartup) // after the endpoint updates that discovery has posted
		case <-rejectEarly:
			r.rejectEarlyRequests()
		case <-stopRequested:
			stopRequested = nil
			actions = r.beginStop()
			nextAction = time.After(duration(actions[0].at))
		case <-nextAction:
			shuttingDown = true
			actions[0].do()
			if actions = actions[1:]; len(actions) > 0 {
				nextAction = time.After(duration(r.stopRequestedAt + actions[0].at - r.loop.Now()))
			}
		case <-acceptEnded:
			acceptEnded = nil
			r.closeClients()
		}
		r.pauseBeforeStep()
		r.readEndpoints()
		batch := r.loop.Drain()
		r.step(r.loop.Now(), batch)
		if acceptEnded == nil && r.allClientsClosed() {
			break
		}
		if shuttingDown { // poll for the end of the connections
			r.loop.WakeWithin(5 * time.Millisecond)
		}
	}
}

// minStepInterval is the minimum time between two event-loop steps, in microseconds; it applies where the configured
// tick is shorter. Each step considers every held request: 1000 steps per second with 150 held requests used a
// quarter of a core. The interval is a hundredth of the shortest latency objective.
const minStepInterval = 3_000

// postStallReadTime is how long connection readers may run after a stall before the next step, which may time out
// attempts: their answers may have arrived during the stall. Reading the pending input of a few hundred connections
// takes less time.
const postStallReadTime = 10 * time.Millisecond

// pauseBeforeStep enforces the minimum interval between steps, so that events that come close together are handled in
// one step. After a stall it waits for the connection readers.
func (r *Router) pauseBeforeStep() {
	if _, stalled := r.loop.Stalled(); stalled {
		r.anomalies.add(processStalled)
		time.Sleep(postStallReadTime)
		return
	}
	minInterval := max(minStepInterval, r.config.Deployment.Tick)
	if wait := r.loop.StepTime + minInterval - r.loop.Now(); wait > 0 {
		time.Sleep(duration(min(wait, minInterval)))
	}
}

// readEndpoints makes the next step handle every endpoint change that discovery has announced. It runs after the last
// wait and before the event batch is taken.
func (r *Router) readEndpoints() {
	r.loop.ReadEndpoints(func() (asOf control.Micros) {
		asOf = r.loop.At(r.discovery.CatchUp())
		// Read before the batch is taken, so that the batch contains every update up to this time.
		if complete := r.discovery.CompleteAsOf(); !complete.IsZero() {
			r.loop.EndpointsCompleteAsOf = r.loop.At(complete)
		}
		return asOf
	})
}

// step handles a batch of events, lets the core make its decisions, and closes connections that have been idle for
// too long.
func (r *Router) step(now control.Micros, events []func(control.Micros)) {
	r.loop.Step(now, events, r.fleet, r.core)
	r.logEndpoints(now)
	r.prune(now)
	r.delayPeaks.step.record(int64(r.loop.Now() - now))
}

// recoverPanic, when deferred, logs a panic with its stack and lets the process continue, so that a fault on one
// connection does not end all others.
func (r *Router) recoverPanic(kind anomaly) {
	if panicValue := recover(); panicValue != nil {
		r.anomalies.add(kind)
		r.log.Error().Stringer("at", kind).Interface("fault", panicValue).Bytes("stack", debug.Stack()).Msg("panic recovered")
	}
}
