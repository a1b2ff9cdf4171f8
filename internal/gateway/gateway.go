// Package gateway sets client and worker connections round one core. One goroutine owns the core, takes its turns and
// carries out what it asks; connections have goroutines of their own, which feed it and are fed by it. Nothing that
// may wait happens within a turn.
package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"hollymast/control"
	"hollymast/internal/certstore"
	"hollymast/internal/core"
	"hollymast/internal/eventqueue"
	"hollymast/internal/fleet"
	"hollymast/internal/loadreport"
	"hollymast/internal/overload"
	"hollymast/internal/record"
	"hollymast/internal/rest"
	"hollymast/internal/xds"
)

// Gateway is one router.
type Gateway struct {
	config      *Config
	log         zerolog.Logger
	startedAt   time.Time
	epoch       control.Micros // the router's time at its start
	incarnation string         // tells marks that we make from those of other runs
	via         string         // names this router to servers (RFC 9110, 7.6.3)
	metrics     *metrics

	// The turn's own; touched by no other goroutine.
	core             *core.Core
	recordWriter     *record.Writer   // nil: nothing is recorded
	recorder         *record.Recorder // the writer's
	decisions        decisionLog
	view             *xds.View // nil: ours is not served
	loadTally        *loadreport.Collector
	overload         *overload.Controller       // nil: storms are not damped
	loadReporter     *loadReporter              // the tally, for others; nil: it is not reported
	state            *stateKeeper               // nil: nothing outlasts this run
	keysUnknownUntil control.Micros             // until when an earlier life's marked jobs may be owed and are not known
	afterStepFuncs   []func(now control.Micros) // to be called after the turn
	stepTime         control.Micros             // of the turn under way
	endpointsAsOf    control.Micros             // as of when the list that this turn chooses from was complete
	pendingRead      chan struct{}              // closed when the look that was asked for has ended; nil: none is awaited
	recordingCount   int
	fleet            *fleet.Fleet
	requests         map[control.RequestID]*request
	lastID           control.RequestID
	pools            map[control.ServerID]*serverPool
	timer            *time.Timer
	timerAt          control.Micros // when the timer fires
	prunedAt         control.Micros
	stopping         bool
	openLoadCommands int // without an answer
	// complete is the last time of which it is known that the list was complete; 0: none is.
	endpointsCompleteAsOf control.Micros

	// Shared.
	sourceCompleteAsOf atomic.Int64 // complete, as whoever follows the list's source knows it
	queue              *eventqueue.Queue
	bodyBytes          atomic.Int64 // of bodies in hand
	clientCount        atomic.Int64 // connections
	ready              atomic.Bool  // a list was read, and we take jobs
	stopRequestedAt    atomic.Int64 // the router's time at which it was; 0: not
	dialing            chan struct{}
	dial               func(ctx context.Context, address string) (*rest.Client, error) // to a server; tests have it fail
	sourceReads        chan chan struct{}                                              // holds one
	readRequested      atomic.Bool                                                     // the list is read before the next turn, however young it is
	certStores         map[string]*certstore.Store                                     // by kind of connections
	serveContext       context.Context                                                 // ends with the last turn
	lastTLSErrors      sync.Map                                                        // address of a worker to what was last said of its certificate
	serverConns        sync.WaitGroup
	clientReaders      sync.WaitGroup // client connections
	listeners          []net.Listener
	background         sync.WaitGroup
	clientConns        sync.Map // of *rest.Conn
	loopEnded          chan struct{}
}

// New opens the router's listeners. Errors are those of listening.
func New(config *Config, log zerolog.Logger) (*Gateway, error) {
	seed := config.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	g := &Gateway{config: config, log: log, startedAt: time.Now(), queue: eventqueue.New(),
		requests: map[control.RequestID]*request{}, pools: map[control.ServerID]*serverPool{}, dialing: make(chan struct{}, config.MaxDials),
		sourceReads: make(chan chan struct{}, 1), loopEnded: make(chan struct{}), metrics: newMetrics(config)}
	// Lists tell starts by the wall clock, and a memory its times, so the router's time begins there; from then on it is monotonic,
	// whatever is done to that clock.
	g.epoch = control.Micros(g.startedAt.UnixMicro())
	g.dial = func(ctx context.Context, address string) (*rest.Client, error) {
		return rest.DialWith(ctx, address, &serverLimits, g.serverHandshake())
	}
	g.incarnation = fmt.Sprintf("%x-%x", config.Deployment.Number, g.epoch)
	g.via = fmt.Sprintf("1.1 hollymast-%d", config.Deployment.Number)
	if err := g.openCertStores(); err != nil {
		return nil, err
	}
	g.fleet, g.loadTally = fleet.New(0), loadreport.NewCollector(g.epoch)
	g.fleet.SetSlowStartDuration(config.Deployment.SlowStartDuration)
	if config.LoadReports {
		g.loadReporter = &loadReporter{gateway: g}
	}
	if config.DampOverload {
		shares := make([]float64, len(config.Deployment.Quotas))
		for i, s := range config.Deployment.Quotas {
			shares[i] = s / float64(config.Deployment.Routers)
		}
		g.overload = overload.NewController(g.epoch, shares, config.Priorities, config.Deployment.MaxRetryAfter, seed)
	}
	deployment := config.Deployment
	deployment.Zone = g.fleet.Zone(config.Zone)
	module := control.New(g.epoch, seed, deployment)
	if config.StateDir != "" {
		g.state, g.keysUnknownUntil = openStateKeeper(config, g.now(), module, log)
		g.metrics.registerJournal(g.state)
		if g.state != nil && g.state.usualLoad != nil && g.overload != nil {
			g.overload.Restore(g.epoch, *g.state.usualLoad, g.state.usualLoadAge)
		}
	}
	g.core = core.New(module, g)
	for _, address := range []string{config.Listen, config.AdminListen} {
		if address == "" {
			continue
		}
		l, err := listenTCP(address)
		if err != nil {
			g.closeListeners()
			g.state.close()
			return nil, err
		}
		g.listeners = append(g.listeners, l)
	}
	if config.ServeView != "" {
		var err error
		if g.view, err = xds.NewView(config.ServeView, g.credentials(viewConnections)); err != nil {
			g.closeListeners()
			g.state.close()
			return nil, err
		}
	}
	if config.RecordDir != "" {
		if err := g.startRecording(g.epoch, config.RecordDir); err != nil {
			g.closeListeners()
			g.state.close()
			if g.view != nil {
				g.view.Close()
			}
			return nil, err
		}
	}
	return g, nil
}

// Address is where clients are listened to; useful where port 0 was told.
func (g *Gateway) Address() string { return g.listeners[0].Addr().String() }

// AdminAddress is where health and metrics are told; empty without.
func (g *Gateway) AdminAddress() string {
	if len(g.listeners) < 2 {
		return ""
	}
	return g.listeners[1].Addr().String()
}

// span is a time of the module's as the standard library has it.
func duration(t control.Micros) time.Duration { return time.Duration(t) * time.Microsecond }

func (g *Gateway) now() control.Micros { return g.epoch + micros(time.Since(g.startedAt)) }

// tell has f called in the next turn.
func (g *Gateway) post(f func(now control.Micros)) { g.queue.Post(f) }

// LogServerEvent logs that a server was ejected or readmitted.
func (g *Gateway) LogServerEvent(event control.ServerEvent) {
	logEvent := g.log.Info()
	if s := g.fleet.Get(event.Server); s != nil {
		logEvent = logEvent.Str("server", s.Address)
	}
	logEvent.Msg(event.LogMessage())
}
