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
func New(told *Config, log zerolog.Logger) (*Router, error) {
	p := &Router{config: told, log: log, started: time.Now(), epoch: control.Micros(told.wall().UnixMicro()), requests: map[control.RequestID]*request{},
		pools: map[control.ServerID]*serverPool{}, queue: eventqueue.New(), clients: map[*clientConn]struct{}{}, anomalies: map[string]int{},
		fleet: fleet.New(0), calls: systemCalls, acceptEnded: make(chan struct{}), rejecting: make(chan struct{}, maxRejecting), random: rand.NewPCG(told.Seed, 0)}
	p.fleet.UseSourceClock()
	p.fleet.SlowStart(told.Deployment.SlowStartDuration)
	// Usual clients hold up to a third; the rest of a half is for those that say nothing.
	p.maxClients = told.Sockets / 2
	p.maxServerConns = told.Sockets - p.maxClients - reservedSockets
	deployment := told.Deployment
	deployment.Zone = p.fleet.Zone(told.zone)
	p.core = core.New(control.New(p.epoch, told.Seed, deployment), p)
	if err := p.traceRejections(); err != nil {
		return nil, err
	}
	var state discovery.State
	if err := state.Restore(told.History); err != nil {
		return nil, err
	}
	p.timer = time.NewTimer(time.Hour)
	p.connsByIdle, p.removedPools = list.New(), map[control.ServerID]*serverPool{}
	p.handleEndpoints(p.epoch, state.Endpoints())
	p.discovery = discovery.NewClient(state, told.DiscoveryAddress, duration(told.grace), told.Seed, func(news fleet.Update) {
		p.queue.PostEndpoints(func(now control.Micros) { p.handleUpdate(now, news) })
	}, func(text string, err error) { p.log.Info().AnErr("why", err).Msg(text) })
	l, err := listenAt(told.Listen)
	if err != nil {
		return nil, err
	}
	p.listener = l.(*net.TCPListener)
	return p, nil
}

// listenFor is for how long a start tries to listen: a predecessor's process may not be gone yet, or the machine be short of
// something. A restart has several times as long to be ready.
const listenFor = 3 * time.Second

// listenAt listens, and tries again while what hinders it may pass.
func listenAt(address string) (net.Listener, error) {
	for begin := time.Now(); ; time.Sleep(firstReread) {
		l, err := net.Listen("tcp", address)
		passes := slices.ContainsFunc([]error{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS,
			syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR}, func(known error) bool { return errors.Is(err, known) })
		if !passes || time.Since(begin) > listenFor {
			return l, err
		}
	}
}

// Address is where clients are listened to.
func (p *Router) Address() string { return p.listener.Addr().String() }

// duration is a time of the module's as the standard library has it.
func duration(t control.Micros) time.Duration { return time.Duration(t) * time.Microsecond }

func (p *Router) now() control.Micros { return p.micros(time.Now()) }

// micros is a time of the standard library as the module has it.
func (p *Router) micros(t time.Time) control.Micros {
	return p.epoch + control.Micros(t.Sub(p.started)/time.Microsecond)
}

// Serve routes until the context ends, serves on for a little, gives each job in hand its answer, and returns once every
// client's connection has ended: each is read until nothing is left on it.
func (p *Router) Serve(ctx context.Context) {
	following, stop := context.WithCancel(context.Background())
	var others sync.WaitGroup
	defer others.Wait()
	defer stop()
	others.Go(func() { p.discovery.Run(following) })
	others.Go(func() { p.detectStalls(following) })
	others.Go(func() {
		defer close(p.acceptEnded)
		p.accept(p.listener)
	})
	defer p.listener.Close()
	// What the configuration knows may be older than the grace: nothing is chosen from it before the board was asked.
	select {
	case <-p.discovery.Started():
	case <-ctx.Done():
	}
	p.ready.Store(true)
	done, accepted, ending := ctx.Done(), p.acceptEnded, false
	var next <-chan time.Time
	var steps []stopAction
	var batch []func(control.Micros)
	told := time.NewTicker(10 * time.Second)
	defer told.Stop()
	for {
		select {
		case <-p.queue.Ready():
		case <-p.timer.C:
		case <-told.C:
			p.logState()
			continue
		case <-done:
			done = nil
			p.stopRequestedAt = p.now()
			p.ready.Store(false)
			p.log.Info().Int("jobs", len(p.requests)).Msg("stopping: serving on a little, then answering what is in hand")
			steps = p.stopActions()
			next = time.After(duration(steps[0].at))
		case <-next:
			ending = true
			steps[0].do()
			if steps = steps[1:]; len(steps) > 0 {
				next = time.After(duration(p.stopRequestedAt + steps[0].at - p.now()))
			}
		case <-accepted:
			accepted = nil
			p.closeClients()
		}
		p.awaitStep()
		p.readEndpoints()
		batch = p.queue.Drain(batch)
		p.step(p.now(), batch)
		if accepted == nil && p.allClientsClosed() {
			break
		}
		if ending { // connections are ending
			p.timer.Reset(min(5*time.Millisecond, duration(max(0, p.timerAt-p.now()))))
		}
	}
	p.logState()
	p.log.Info().Msg("no job is left in hand")
	p.closeAll()
}

// minStepInterval is how far apart turns are at least, where the settings' tick is shorter: each asks again for every held job, and
// a thousand a second with 150 held took a quarter of a core. It is a hundredth of the shortest start target.
const minStepInterval = 3_000

// readersCatchUp is for how long the readers of connections run after this process was stopped before the turn that may find the
// time of executions up: their answers may have come meanwhile. Reading what waits on some hundred connections takes less.
const readersCatchUp = 10 * time.Millisecond

// awaitStep keeps turns apart, so that what comes close together costs one.
func (p *Router) awaitStep() {
	now := p.now()
	if p.timerAt > 0 && attempt.Stalled(now-p.timerAt, p.config.grace) {
		p.countAnomaly("the router stood still")
		time.Sleep(readersCatchUp)
		return
	}
	least := max(minStepInterval, p.config.Deployment.Tick)
	if wait := p.stepTime + least - now; wait > 0 {
		time.Sleep(duration(min(wait, least)))
	}
}

// readEndpoints has all that the notice board told taken in by the turn that comes next. It comes after the last wait before the
// turn's batch is taken: whenever this process was stopped, the turn's choices are no younger than their list.
func (p *Router) readEndpoints() {
	p.endpointsAsOfBefore = p.endpointsAsOf
	if attempt.MustReadEndpoints(p.now()-p.endpointsAsOf, p.config.grace) {
		p.endpointsAsOf = p.micros(p.discovery.CatchUp())
		if complete := p.discovery.CompleteAsOf(); !complete.IsZero() { // before the batch is taken: it holds all told by then
			p.endpointsCompleteAsOf = p.micros(complete)
		}
	}
}

func (p *Router) step(now control.Micros, heard []func(control.Micros)) {
	p.stepTime = now
	for _, f := range heard {
		f(now)
	}
	p.fleet.CompleteAsOf(p.endpointsCompleteAsOf)
	p.core.Step(now)
	p.prune(now)
}

// recoverPanic keeps a fault of our own on one connection from ending the others. It is told, since it needs mending.
func (p *Router) recoverPanic(at string) {
	if fault := recover(); fault != nil {
		p.countAnomaly("fault of our own " + at)
		p.log.Error().Str("at", at).Interface("fault", fault).Bytes("stack", debug.Stack()).Msg("fault of our own")
	}
}
