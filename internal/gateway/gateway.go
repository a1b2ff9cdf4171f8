// Package gateway is a router as a KServe v2 REST service: it connects client connections, server connections and the
// sources of endpoints to one core. One goroutine runs the event loop: it owns the core and carries out what the core
// decides. Each connection has a goroutine of its own, which posts events to the loop. Nothing in an event-loop step
// blocks, and no decision is taken in this package.
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
	"hollymast/internal/eventloop"
	"hollymast/internal/fleet"
	"hollymast/internal/loadreport"
	"hollymast/internal/overload"
	"hollymast/internal/record"
	"hollymast/internal/rest"
	"hollymast/internal/xds"
)

// Gateway is one router process: its listeners, its connections and its event loop. Create it with New, run it with
// Serve.
type Gateway struct {
	config      *Config
	log         zerolog.Logger
	loop        *eventloop.Loop // its clock, Post and PostEndpoints are shared, the rest is the event loop's
	incarnation string          // distinguishes the idempotency keys that this process makes
	via         string          // names this router to servers (RFC 9110, section 7.6.3)
	metrics     *metrics

	// Owned by the event loop; no other goroutine touches these.
	core             *core.Core
	fleet            *fleet.Fleet
	requests         map[control.RequestID]*request
	lastID           control.RequestID
	pools            map[control.ServerID]*serverPool
	openLoadCommands int                        // not answered yet
	prunedAt         control.Micros             // when prune last ran
	afterStepFuncs   []func(now control.Micros) // to be called after this step
	pendingRead      chan struct{}              // closed when the last requested read of the source has ended
	stopping         bool
	recordWriter     *record.Writer   // nil: nothing is recorded
	recorder         *record.Recorder // of recordWriter
	recordingCount   int
	decisions        decisionLog
	loadTally        *loadreport.Collector
	overload         *overload.Controller // nil: overload is not damped
	state            *stateKeeper         // nil: nothing outlasts this process
	// keysUnknownUntil is until when attempts that an earlier incarnation began may be running and are not known.
	keysUnknownUntil control.Micros

	// Shared with other goroutines.
	sourceCompleteAsOf atomic.Int64                                                    // when the endpoints' source was complete, as its reader knows it; 0: never
	sourceReads        chan chan struct{}                                              // requests to read the endpoints' source; each is closed once it was read
	readRequested      atomic.Bool                                                     // the endpoints' source is read before the next step, however fresh the list is
	ready              atomic.Bool                                                     // an endpoint list was read, and requests are accepted
	stopRequestedAt    atomic.Int64                                                    // on the router's clock; 0: not stopping
	bodyBytes          atomic.Int64                                                    // of the request bodies in memory
	clientCount        atomic.Int64                                                    // client connections
	clientConns        sync.Map                                                        // of *rest.Conn
	dialing            chan struct{}                                                   // semaphore: connections that are being dialled
	dial               func(ctx context.Context, address string) (*rest.Client, error) // tests replace it
	certStores         map[string]*certstore.Store                                     // by kind of connection
	lastTLSErrors      sync.Map                                                        // by server address
	loadReporter       *loadReporter                                                   // nil: loads are not reported to a control plane
	view               *xds.View                                                       // nil: this router's view is not served
	listeners          []net.Listener                                                  // clients', then the admin listener if there is one
	loopEnded          chan struct{}                                                   // closed after the last step

	background    sync.WaitGroup // goroutines that run as long as the event loop
	clientReaders sync.WaitGroup // one for each client connection
	serverConns   sync.WaitGroup // one for each server connection
}

// New returns a gateway for a configuration, with its listeners open. It fails when an address can't be listened on,
// when a certificate can't be read, or when a recording can't be started. A folder for learned state that can't be used
// is logged, and the gateway runs without.
func New(config *Config, log zerolog.Logger) (*Gateway, error) {
	seed := config.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	g := &Gateway{
		config: config, log: log, loop: eventloop.New(eventloop.NewClock(time.Now()), micros(config.GracePeriod)),
		requests: map[control.RequestID]*request{}, pools: map[control.ServerID]*serverPool{},
		dialing: make(chan struct{}, config.MaxDials), sourceReads: make(chan chan struct{}, 1),
		loopEnded: make(chan struct{}), metrics: newMetrics(),
	}
	g.dial = func(ctx context.Context, address string) (*rest.Client, error) {
		return rest.DialWithHandshake(ctx, address, &serverLimits, g.serverHandshake())
	}
	g.incarnation = fmt.Sprintf("%x-%x", config.Deployment.RouterIndex, g.loop.Epoch)
	g.via = fmt.Sprintf("1.1 hollymast-%d", config.Deployment.RouterIndex)
	if err := g.openCertStores(); err != nil {
		return nil, err
	}
	g.newCore(seed)
	if err := g.open(); err != nil {
		g.abandonStart()
		return nil, err
	}
	return g, nil
}

// newCore creates the core and what it is fed with, and restores what an earlier incarnation has learned.
func (g *Gateway) newCore(seed uint64) {
	config := g.config
	g.fleet, g.loadTally = fleet.New(0), loadreport.NewCollector(g.loop.Epoch)
	g.fleet.SetSlowStartDuration(config.Deployment.SlowStartDuration)
	if config.LoadReports {
		g.loadReporter = &loadReporter{gateway: g}
	}
	if config.DampOverload {
		quotas := make([]float64, len(config.Deployment.Quotas))
		for i, quota := range config.Deployment.Quotas {
			quotas[i] = quota / float64(config.Deployment.Routers)
		}
		g.overload = overload.NewController(g.loop.Epoch, quotas, config.Priorities, config.Deployment.MaxRetryAfter, seed)
	}
	deployment := config.Deployment
	deployment.Zone = g.fleet.ZoneID(config.Zone)
	balancer := control.New(g.loop.Epoch, seed, deployment)
	if config.StateDir != "" {
		g.state, g.keysUnknownUntil = openStateKeeper(config, g.loop.Now(), balancer, g.log)
		g.metrics.registerJournal(g.state)
		if g.state != nil && g.state.usualLoad != nil && g.overload != nil {
			g.overload.Restore(g.loop.Epoch, *g.state.usualLoad, g.state.usualLoadAge)
		}
	}
	g.core = core.New(balancer, g)
}

// open opens what New may fail at.
func (g *Gateway) open() error {
	for _, address := range []string{g.config.Listen, g.config.AdminListen} {
		if address == "" {
			continue
		}
		l, err := listenTCP(address)
		if err != nil {
			return err
		}
		g.listeners = append(g.listeners, l)
	}
	if g.config.ServeView != "" {
		var err error
		if g.view, err = xds.NewView(g.config.ServeView, g.credentials(viewConnections)); err != nil {
			return err
		}
	}
	if g.config.RecordDir != "" {
		return g.startRecording(g.loop.Epoch, g.config.RecordDir)
	}
	return nil
}

// abandonStart closes what a start that failed has opened.
func (g *Gateway) abandonStart() {
	g.closeListeners()
	g.state.close()
	if g.view != nil {
		g.view.Close()
	}
}

// Address returns the address that clients connect to.
func (g *Gateway) Address() string { return g.listeners[0].Addr().String() }

// AdminAddress returns the address of health, metrics and the operators' calls; empty without one.
func (g *Gateway) AdminAddress() string {
	if len(g.listeners) < 2 {
		return ""
	}
	return g.listeners[1].Addr().String()
}

// duration converts microseconds to a time.Duration.
func duration(t control.Micros) time.Duration { return time.Duration(t) * time.Microsecond }

// micros converts a time.Duration to microseconds.
func micros(d time.Duration) control.Micros { return control.Micros(d.Microseconds()) }

// LogServerEvent logs that a server was ejected or readmitted.
func (g *Gateway) LogServerEvent(event control.ServerEvent) {
	logEvent := g.log.Info()
	if s := g.fleet.Get(event.Server); s != nil {
		logEvent = logEvent.Str("server", s.Address)
	}
	logEvent.Msg(event.LogMessage())
}
