// Package platform is one real router on the operators' platform: client connections, server connections and the notice
// board round one core. One goroutine owns the core, takes its turns and carries out what it asks; connections have
// goroutines of their own. Nothing that may wait happens within a turn, and nothing is decided here.
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
	"hollymast/internal/attempt"
	"hollymast/internal/core"
	"hollymast/internal/discovery"
	"hollymast/internal/eventqueue"
	"hollymast/internal/fleet"
)

// Router is one router.
type Router struct {
	config  *Config
	log     zerolog.Logger
	started time.Time
	epoch   control.Micros // the router's time at its start: the Unix clock's, from then on monotonic

	// The turn's own; touched by no other goroutine.
	core            *core.Core
	fleet           *fleet.Fleet
	requests        map[control.RequestID]*request
	pools           map[control.ServerID]*serverPool
	serverConnCount int                              // connections to servers
	connsByIdle     *list.List                       // of *link: all that are not dropped, by when something last began or ended on them
	removedPools    map[control.ServerID]*serverPool // to servers that are gone, until prune finds their connections ended
	timer           *time.Timer
	timerAt         control.Micros // when the timer fires
	prunedAt        control.Micros
	stepTime        control.Micros // this turn's, or the last one's
	endpointsAsOf   control.Micros // as of when the list that this turn chooses from was complete
	// endpointsAsOfBefore is listAsOf of the turn before: a change that this turn takes in was told after that.
	endpointsAsOfBefore   control.Micros
	endpointsCompleteAsOf control.Micros // the last time of which it is known that the list was complete; 0: none is
	stopRequestedAt       control.Micros // to stop; 0: not
	random                *rand.PCG      // for the ids of orders; decides nothing

	// Shared.
	queue         *eventqueue.Queue
	calls         calls
	stalls        stallDetector
	discovery     *discovery.Client
	ready         atomic.Bool
	listener      *net.TCPListener
	acceptEnded   chan struct{} // closed when no connection is accepted any more
	rejecting     chan struct{} // holds one for each connection that is read to be turned away
	mu            sync.Mutex
	clients       map[*clientConn]struct{}
	rejectedConns int            // of them, for which there is no room
	anomalies     map[string]int // what was out of order since the last line about it
	// What the log tells of the rule for drains, since the last line, in microseconds.
	oldestEndpoints peak // of the lists that first bytes rested on: their age
	afterDrain      peak // the latest first byte to a server that drained or went: how much later than that, at most

	maxClients, maxServerConns int
}

const (
	// minSockets is what a router needs to serve at all.
	minSockets = 128
	// reservedSockets descriptors: standard streams, the poller, the listener, the board's two, the configuration, and as many
	// accepts and dials as may be ahead of what is counted.
	reservedSockets = 40
)

// New opens the router's listener.
func New(config *Config, log zerolog.Logger) (*Router, error) {
	r := &Router{config: config, log: log, started: time.Now(), epoch: control.Micros(config.wall().UnixMicro()), requests: map[control.RequestID]*request{},
		pools: map[control.ServerID]*serverPool{}, queue: eventqueue.New(), clients: map[*clientConn]struct{}{}, anomalies: map[string]int{},
		fleet: fleet.New(0), calls: systemCalls, acceptEnded: make(chan struct{}), rejecting: make(chan struct{}, maxRejecting), random: rand.NewPCG(config.Seed, 0)}
	r.fleet.UseSourceClock()
	r.fleet.SlowStart(config.Deployment.SlowStartDuration)
	// Usual clients hold up to a third; the rest of a half is for those that say nothing.
	r.maxClients = config.Sockets / 2
	r.maxServerConns = config.Sockets - r.maxClients - reservedSockets
	deployment := config.Deployment
	deployment.Zone = r.fleet.Zone(config.zone)
	r.core = core.New(control.New(r.epoch, config.Seed, deployment), r)
	if err := r.traceRejections(); err != nil {
		return nil, err
	}
	var state discovery.State
	if err := state.Restore(config.History); err != nil {
		return nil, err
	}
	r.timer = time.NewTimer(time.Hour)
	r.connsByIdle, r.removedPools = list.New(), map[control.ServerID]*serverPool{}
	r.handleEndpoints(r.epoch, state.Endpoints())
	r.discovery = discovery.NewClient(state, config.DiscoveryAddress, duration(config.grace), config.Seed, func(update fleet.Update) {
		r.queue.PostEndpoints(func(now control.Micros) { r.handleUpdate(now, update) })
	}, func(text string, err error) { r.log.Info().AnErr("why", err).Msg(text) })
	l, err := listenAt(config.Listen)
	if err != nil {
		return nil, err
	}
	r.listener = l.(*net.TCPListener)
	return r, nil
}

// listenFor is for how long a start tries to listen: a predecessor's process may not be gone yet, or the machine be short of
// something. A restart has several times as long to be ready.
const listenFor = 3 * time.Second

// listenAt listens, and tries again while what hinders it may pass.
func listenAt(address string) (net.Listener, error) {
	for begin := time.Now(); ; time.Sleep(firstReread) {
		l, err := net.Listen("tcp", address)
		retryable := slices.ContainsFunc([]error{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS,
			syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR}, func(known error) bool { return errors.Is(err, known) })
		if !retryable || time.Since(begin) > listenFor {
			return l, err
		}
	}
}

// Address is where clients are listened to.
func (r *Router) Address() string { return r.listener.Addr().String() }

// duration is a time of the module's as the standard library has it.
func duration(t control.Micros) time.Duration { return time.Duration(t) * time.Microsecond }

func (r *Router) now() control.Micros { return r.micros(time.Now()) }

// micros is a time of the standard library as the module has it.
func (r *Router) micros(t time.Time) control.Micros {
	return r.epoch + control.Micros(t.Sub(r.started)/time.Microsecond)
}

// Serve routes until the context ends, serves on for a little, gives each job in hand its answer, and returns once every
// client's connection has ended: each is read until nothing is left on it.
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
	// What the configuration knows may be older than the grace: nothing is chosen from it before the board was asked.
	select {
	case <-r.discovery.Started():
	case <-ctx.Done():
	}
	r.ready.Store(true)
	stopRequested, acceptEnded, ending := ctx.Done(), r.acceptEnded, false
	var nextAction <-chan time.Time
	var actions []stopAction
	var batch []func(control.Micros)
	stateTicker := time.NewTicker(10 * time.Second)
	defer stateTicker.Stop()
	for {
		select {
		case <-r.queue.Ready():
		case <-r.timer.C:
		case <-stateTicker.C:
			r.logState()
			continue
		case <-stopRequested:
			stopRequested = nil
			r.stopRequestedAt = r.now()
			r.ready.Store(false)
			r.log.Info().Int("jobs", len(r.requests)).Msg("stopping: serving on a little, then answering what is in hand")
			actions = r.stopActions()
			nextAction = time.After(duration(actions[0].at))
		case <-nextAction:
			ending = true
			actions[0].do()
			if actions = actions[1:]; len(actions) > 0 {
				nextAction = time.After(duration(r.stopRequestedAt + actions[0].at - r.now()))
			}
		case <-acceptEnded:
			acceptEnded = nil
			r.closeClients()
		}
		r.awaitStep()
		r.readEndpoints()
		batch = r.queue.Drain(batch)
		r.step(r.now(), batch)
		if acceptEnded == nil && r.allClientsClosed() {
			break
		}
		if ending { // connections are ending
			r.timer.Reset(min(5*time.Millisecond, duration(max(0, r.timerAt-r.now()))))
		}
	}
	r.logState()
	r.log.Info().Msg("no job is left in hand")
	r.closeAll()
}

// minStepInterval is how far apart turns are at least, where the settings' tick is shorter: each asks again for every held job, and
// a thousand a second with 150 held took a quarter of a core. It is a hundredth of the shortest start target.
const minStepInterval = 3_000

// readersCatchUp is for how long the readers of connections run after this process was stopped before the turn that may find the
// time of executions up: their answers may have come meanwhile. Reading what waits on some hundred connections takes less.
const readersCatchUp = 10 * time.Millisecond

// awaitStep keeps turns apart, so that what comes close together costs one.
func (r *Router) awaitStep() {
	now := r.now()
	if r.timerAt > 0 && attempt.Stalled(now-r.timerAt, r.config.grace) {
		r.countAnomaly("the router stood still")
		time.Sleep(readersCatchUp)
		return
	}
	least := max(minStepInterval, r.config.Deployment.Tick)
	if wait := r.stepTime + least - now; wait > 0 {
		time.Sleep(duration(min(wait, least)))
	}
}

// readEndpoints has all that the notice board told taken in by the turn that comes next. It comes after the last wait before the
// turn's batch is taken: whenever this process was stopped, the turn's choices are no younger than their list.
func (r *Router) readEndpoints() {
	r.endpointsAsOfBefore = r.endpointsAsOf
	if attempt.MustReadEndpoints(r.now()-r.endpointsAsOf, r.config.grace) {
		r.endpointsAsOf = r.micros(r.discovery.CatchUp())
		if complete := r.discovery.CompleteAsOf(); !complete.IsZero() { // before the batch is taken: it holds all told by then
			r.endpointsCompleteAsOf = r.micros(complete)
		}
	}
}

func (r *Router) step(now control.Micros, events []func(control.Micros)) {
	r.stepTime = now
	for _, f := range events {
		f(now)
	}
	r.fleet.CompleteAsOf(r.endpointsCompleteAsOf)
	r.core.Step(now)
	r.prune(now)
}

// recoverPanic keeps a fault of our own on one connection from ending the others. It is told, since it needs mending.
func (r *Router) recoverPanic(at string) {
	if fault := recover(); fault != nil {
		r.countAnomaly("fault of our own " + at)
		r.log.Error().Str("at", at).Interface("fault", fault).Bytes("stack", debug.Stack()).Msg("fault of our own")
	}
}
