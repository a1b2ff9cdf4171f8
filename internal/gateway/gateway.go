// Package gateway implements a router as a KServe v2 REST service. It connects the client connections, the server
// connections and the endpoint source to one core. One goroutine runs the event loop, which owns the core and executes
// its decisions; this package makes no routing decisions itself. Each connection has its own goroutine, which posts
// events to the loop. Nothing in an event-loop step blocks.
package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"hollymast/control"
	"hollymast/internal/acceptqueue"
	"hollymast/internal/certstore"
	"hollymast/internal/core"
	"hollymast/internal/eventloop"
	"hollymast/internal/fleet"
	"hollymast/internal/loadreport"
	"hollymast/internal/overload"
	"hollymast/internal/pacing"
	"hollymast/internal/persistence"
	"hollymast/internal/record"
	"hollymast/internal/rest"
	"hollymast/internal/xds"
)

// Gateway is one router process: its listeners, its connections and its event loop. Create it with New, run it with
// Serve.
type Gateway struct {
	config      *Config
	log         zerolog.Logger
	loop        *eventloop.Loop // any goroutine may use its clock, Post and PostEndpoints; only the event loop uses the rest
	incarnation string          // identifies this process; prefix of the idempotency keys that it generates
	via         string          // value of the Via header sent to servers (RFC 9110, section 7.6.3)
	metrics     *metrics

	// Owned by the event loop; no other goroutine accesses these.
	core                 *core.Core
	fleet                *fleet.Fleet
	requests             map[control.RequestID]*request
	lastID               control.RequestID
	pools                map[control.ServerID]*serverPool
	loadCommandsInFlight int                        // sent to servers and not answered yet
	lastPrunedAt         control.Micros             // when prune last ran
	afterStepFuncs       []func(now control.Micros) // run at the end of this step, then cleared
	pendingRead          chan struct{}              // closed when the last requested read of the endpoint source ends; nil: none was requested
	stopping             bool
	recordWriter         *record.Writer   // nil: not recording
	recorder             *record.Recorder // recordWriter's recorder
	recordingCount       int              // recordings started by this process
	latestDecisions      decisionLog
	loadCollector        *loadreport.Collector
	overload             *overload.Controller  // nil: overload damping is off
	state                *stateKeeper          // nil: no state survives a restart
	keys                 *persistence.KeyIndex // attempts that may have run, by idempotency key; the state keeper's, if there is one
	openByKey            map[persistence.IdempotencyKey]*request
	// Until keysUnknownUntil, attempts started by an earlier incarnation that are missing from the key index may still
	// be running.
	keysUnknownUntil control.Micros

	// Shared with other goroutines.
	sourceCompleteAsOf atomic.Int64       // latest time as of which the endpoint source was read completely; 0: never
	sourceReads        chan chan struct{} // requests to read the endpoint source now; each channel is closed after the read
	readRequested      atomic.Bool        // the endpoint source must be read before the next step, however recent the list is
	ready              atomic.Bool        // an endpoint list was applied, and the gateway is not stopping
	stopRequestedAt    atomic.Int64       // on the router's clock; 0: not stopping
	bodyBytes          atomic.Int64       // total size of the request bodies in memory
	clientRate         *pacing.Shared
	clientCount        atomic.Int64                                                    // open client connections
	clientConns        sync.Map                                                        // keys are *rest.Conn, values unused
	dialSemaphore      chan struct{}                                                   // holds one value for each connection that is being dialled
	dial               func(ctx context.Context, address string) (*rest.Client, error) // dials a server; replaced by tests
	certStores         map[string]*certstore.Store                                     // by kind of connection
	lastTLSErrors      sync.Map                                                        // last handshake error by server address
	loadReporter       *loadReporter                                                   // nil: no load reports are sent to the control plane
	view               *xds.View                                                       // nil: this router does not serve its view
	listeners          []net.Listener                                                  // the client listener, then the admin listener if one is configured
	loopEnded          chan struct{}                                                   // closed after the last step

	background    sync.WaitGroup // goroutines started by startBackground
	clientReaders sync.WaitGroup // one goroutine for each client connection
	serverConns   sync.WaitGroup // one goroutine for each server connection
}

// New returns a gateway with its listeners open. It fails if an address can't be listened on, a certificate can't be
// read, or a configured recording can't be started. If the folder for learned state can't be used, New logs that and
// the gateway runs without it.
func New(config *Config, log zerolog.Logger) (*Gateway, error) {
	seed := config.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	g := &Gateway{
		config: config, log: log, loop: eventloop.New(eventloop.NewClock(time.Now()), micros(config.GracePeriod)),
		requests: map[control.RequestID]*request{}, openByKey: map[persistence.IdempotencyKey]*request{}, pools: map[control.ServerID]*serverPool{},
		dialSemaphore: make(chan struct{}, config.MaxDials), sourceReads: make(chan chan struct{}, 1),
		loopEnded: make(chan struct{}), metrics: newMetrics(), clientRate: pacing.NewShared(float64(runtime.GOMAXPROCS(0))),
	}
	g.dial = func(ctx context.Context, address string) (*rest.Client, error) {
		return rest.DialWithHandshake(ctx, address, &serverLimits, g.serverHandshake())
	}
	g.incarnation = fmt.Sprintf("%x-%x", config.Deployment.RouterIndex, g.loop.Epoch)
	g.via = fmt.Sprintf("1.1 hollymast-%d", config.Deployment.RouterIndex)
	if err := g.openCertStores(); err != nil {
		return nil, err
	}
	g.createCore(seed)
	if err := g.openResources(); err != nil {
		g.closeResources()
		return nil, err
	}
	return g, nil
}

// createCore creates the core, the fleet and the overload controller, and restores the state that an earlier
// incarnation learned.
func (g *Gateway) createCore(seed uint64) {
	config := g.config
	g.fleet, g.loadCollector = fleet.New(0), loadreport.NewCollector(g.loop.Epoch)
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
		if g.state != nil && g.state.overloadBaseline != nil && g.overload != nil {
			g.overload.Restore(g.loop.Epoch, *g.state.overloadBaseline, g.state.overloadBaselineAge)
		}
	}
	g.keys = newUnstoredKeys()
	if g.state != nil {
		g.keys = g.state.keys
	}
	g.core = core.New(balancer, g)
}

// openResources opens the listeners, and starts the view server and the recording if they are configured.
func (g *Gateway) openResources() error {
	for _, address := range []string{g.config.Listen, g.config.AdminListen} {
		if address == "" {
			continue
		}
		l, err := acceptqueue.Listen(address)
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

// closeResources closes the listeners, the learned state and the view server after a failed start.
func (g *Gateway) closeResources() {
	g.closeListeners()
	g.state.close()
	if g.view != nil {
		g.view.Close()
	}
}

// Address returns the address that clients connect to.
func (g *Gateway) Address() string { return g.listeners[0].Addr().String() }

// AdminAddress returns the address that serves health, metrics and the admin calls, or "" if there is none.
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
