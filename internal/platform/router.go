// Package platform is a router as a network service: it connects client connections, server connections and the
// discovery service to one core. One goroutine runs the event loop: it owns the core and carries out what the core
// decides. Each connection has a goroutine of its own. Nothing in an event-loop step blocks, and no decision is taken
// in this package.
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
	"hollymast/internal/core"
	"hollymast/internal/discovery"
	"hollymast/internal/eventloop"
	"hollymast/internal/fleet"
)

// Router is one router process: its listener, its connections and its event loop. Create it with New, run it with
// Serve.
type Router struct {
	config *Config
	log    zerolog.Logger
	loop   *eventloop.Loop // its clock, Post and PostEndpoints are shared, the rest is the event loop's

	// Owned by the event loop; no other goroutine touches these.
	core            *core.Core
	fleet           *fleet.Fleet
	requests        map[control.RequestID]*request
	pools           map[control.ServerID]*serverPool
	serverConnCount int                              // server connections, all pools
	connsByIdle     *list.List                       // *serverConn that are in use, least recently used first
	removedPools    map[control.ServerID]*serverPool // pools of removed servers, until their connections have ended
	prunedAt        control.Micros
	stopRequestedAt control.Micros // 0: not stopping
	endpointLog     endpointLog
	slowStarts      map[control.ServerID]*slowStart // servers in slow start that were sent requests
	random          *rand.PCG                       // for load commands' ids; no decision depends on it

	// Shared with other goroutines.
	calls         calls
	stalls        stallDetector
	discovery     *discovery.Client
	ready         atomic.Bool
	listener      *net.TCPListener
	acceptEnded   chan struct{} // closed once no more connections are accepted
	rejecting     chan struct{} // semaphore: connections that are read only to be rejected
	mu            sync.Mutex
	clients       map[*clientConn]struct{}
	rejectedConns int // of clients, those beyond the limit
	anomalies     anomalyCounts
	// Counts for the state log line, reset with each.
	attemptEnds  counter[attemptResult]
	retries      counter[attemptResult] // by how the attempt before ended
	requestEnds  counter[requestOutcome]
	clientCloses counter[clientClose]
	serverCloses counter[serverClose]
	// Peaks for the state log line, reset with each, in microseconds.
	oldestEndpoints peak // age of the endpoint list at an attempt's first byte
	afterDrain      peak // upper bound on a first byte's delay after its server drained or was removed

	maxClients, maxServerConns int
}

const (
	// minSockets is the smallest number of sockets that a router can serve with.
	minSockets = 128
	// reservedSockets is the number of descriptors kept back: standard streams, the poller, the listener, two of the
	// discovery client, the configuration file, and as many accepts and dials as may run ahead of the counters.
	reservedSockets = 40
)

// New returns a router for a configuration, with its listener open. It fails when the recorded endpoint history is
// invalid or the listening address can't be had in time.
func New(config *Config, log zerolog.Logger) (*Router, error) {
	r := &Router{
		config: config, log: log, loop: eventloop.New(eventloop.NewClock(config.wall()), config.grace),
		requests: map[control.RequestID]*request{}, pools: map[control.ServerID]*serverPool{},
		clients: map[*clientConn]struct{}{}, slowStarts: map[control.ServerID]*slowStart{},
		fleet: fleet.New(0), calls: systemCalls, acceptEnded: make(chan struct{}),
		rejecting: make(chan struct{}, maxRejecting), random: rand.NewPCG(config.Seed, 0),
	}
	r.fleet.UseSourceClock()
	r.fleet.SetSlowStartDuration(config.Deployment.SlowStartDuration)
	// Well-behaved clients hold up to a third; the rest of a half is for silent ones.
	r.maxClients = config.Sockets / 2
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

// listenFor is for how long New retries to listen: a predecessor's process may still hold the address, or the machine
// be short of something. A restart is allowed several times as long to become ready.
const listenFor = 3 * time.Second

// listenAt listens on a TCP address, and retries for up to listenFor while the error may be temporary.
func listenAt(address string) (net.Listener, error) {
	for begin := time.Now(); ; time.Sleep(minRereadPause) {
		l, err := net.Listen("tcp", address)
		retryable := slices.ContainsFunc([]error{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE,
			syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR}, func(known error) bool { return errors.Is(err, known) })
		if !retryable || time.Since(begin) > listenFor {
			return l, err
		}
	}
}

// Address returns the address that the router listens on for clients.
func (r *Router) Address() string { return r.listener.Addr().String() }

// duration converts microseconds to a time.Duration.
func duration(t control.Micros) time.Duration { return time.Duration(t) * time.Microsecond }

// Serve runs the event loop until ctx ends, and then the graceful shutdown: it accepts requests for a little longer,
// answers every request in flight, and returns once each client connection was read to its end and has closed.
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
	// The configuration's endpoints may be older than the grace period: none is chosen before discovery has answered.
	select {
	case <-r.discovery.Started():
	case <-ctx.Done():
	}
	r.ready.Store(true)
	r.runEventLoop(ctx.Done())
	r.logState()
	r.log.Info().Msg("no request is in flight any more")
	r.closeAll()
}

// runEventLoop runs the event loop until the router was asked to stop and every client connection has ended.
func (r *Router) runEventLoop(stopRequested <-chan struct{}) {
	acceptEnded, ending := r.acceptEnded, false
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
		case <-stopRequested:
			stopRequested = nil
			actions = r.beginStop()
			nextAction = time.After(duration(actions[0].at))
		case <-nextAction:
			ending = true
			actions[0].do()
			if actions = actions[1:]; len(actions) > 0 {
				nextAction = time.After(duration(r.stopRequestedAt + actions[0].at - r.loop.Now()))
			}
		case <-acceptEnded:
			acceptEnded = nil
			r.closeClients()
		}
		r.awaitStep()
		r.readEndpoints()
		batch := r.loop.Drain()
		r.step(r.loop.Now(), batch)
		if acceptEnded == nil && r.allClientsClosed() {
			break
		}
		if ending { // poll for the end of the connections
			r.loop.WakeWithin(5 * time.Millisecond)
		}
	}
}

// minStepInterval is the least time between two event-loop steps, in microseconds, where the configured tick is
// shorter. Each step considers every held request: 1000 steps/s with 150 held requests took a quarter of a core. It
// is a hundredth of the shortest latency objective.
const minStepInterval = 3_000

// postStallReadTime is for how long connections' readers run after a stall before the step that may time out attempts:
// their answers may have come during the stall. Reading what is pending on some hundred connections takes less.
const postStallReadTime = 10 * time.Millisecond

// awaitStep keeps steps apart, so that events that come close together share one.
func (r *Router) awaitStep() {
	if _, stalled := r.loop.Stalled(); stalled {
		r.anomalies.add(processStalled)
		time.Sleep(postStallReadTime)
		return
	}
	least := max(minStepInterval, r.config.Deployment.Tick)
	if wait := r.loop.StepTime + least - r.loop.Now(); wait > 0 {
		time.Sleep(duration(min(wait, least)))
	}
}

// readEndpoints makes the next step handle everything that discovery has announced. It runs after the last wait
// before the event batch is taken.
func (r *Router) readEndpoints() {
	r.loop.ReadEndpoints(func() (asOf control.Micros) {
		asOf = r.loop.At(r.discovery.CatchUp())
		// Read before the batch is taken, which so holds everything up to then.
		if complete := r.discovery.CompleteAsOf(); !complete.IsZero() {
			r.loop.EndpointsCompleteAsOf = r.loop.At(complete)
		}
		return asOf
	})
}

// step handles a batch of events, lets the core decide on them, and closes what has been idle for long.
func (r *Router) step(now control.Micros, events []func(control.Micros)) {
	r.loop.Step(now, events, r.fleet, r.core)
	r.logEndpoints(now)
	r.prune(now)
}

// recoverPanic, deferred, logs a panic and its stack; the process goes on. It guards against one connection's fault
// ending all others.
func (r *Router) recoverPanic(kind anomaly) {
	if fault := recover(); fault != nil {
		r.anomalies.add(kind)
		r.log.Error().Stringer("at", kind).Interface("fault", fault).Bytes("stack", debug.Stack()).Msg("panic recovered")
	}
}
