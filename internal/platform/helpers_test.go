package platform

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/fleet"
	"hollymast/internal/platformtest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const settingsText = `{"balancers": 1, "tick": 1000, "zones": ["east"], "report": {"fields": ["cpu_share"], "how": "on_probe"},
	"ceilings": {"cancel": true, "conn_idle": 15000000, "connect_timeout": 250000, "max_retry_after": 2000000, "retry_after": true,
		"streams_per_conn": 100, "try_limit": 3},
	"classes": [{"name": "again", "aim": 1000000, "hard_limit": 4000000, "importance": 1, "semantics": "pure", "window": 0},
		{"name": "once", "aim": 1000000, "hard_limit": 4000000, "importance": 1, "semantics": "side_effect", "window": 0},
		{"name": "marked", "aim": 1000000, "hard_limit": 4000000, "importance": 1, "semantics": "token", "key_scope": "all", "window": 5000000}],
	"clients": {"marks_retry": true}, "contract": {"stop_sending_within": 500000}, "customers": [{"name": "acme", "allowance_per_s": 100}],
	"specifics": {"when_absent": "load", "linger_idle": 9000000, "order_limit": 4000000, "kind_memory_mb": [1000], "load_control": true}}`

// unreachable is an address that nothing listens on.
const unreachable = "127.0.0.1:1"

// configText returns a configuration file without any servers.
func configText(discoveryAddress string) string {
	return fmt.Sprintf(`{"name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "board": %q,
		"limits": {"cores": 1, "memory_mb": 64, "sockets": 256}, "known": {"rev": 0, "notices": []}, "settings": %s}`, discoveryAddress, settingsText)
}

// mustParseConfig parses the text of a configuration file, and fails the test if it is invalid.
func mustParseConfig(t testing.TB, text string) *Config {
	t.Helper()
	config, err := parseConfig([]byte(text), Environment{})
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// testConfig returns a configuration with ready servers at the given addresses, named s-0, s-1 and so on, and a
// discovery service that announces only those.
func testConfig(t testing.TB, servers ...string) *Config {
	t.Helper()
	config := mustParseConfig(t, configText(unreachable))
	for i, address := range servers {
		config.History.Events = append(config.History.Events, platformtest.Event(uint64(i+1), fmt.Sprintf("s-%d", i), address, "ready"))
	}
	config.History.Revision = uint64(len(servers))
	config.DiscoveryAddress = platformtest.NewDiscovery(t, "127.0.0.1:0", nil, config.History.Events...).Address()
	return config
}

// newRouter returns a router that is not serving.
func newRouter(t testing.TB, config *Config, log zerolog.Logger) *Router {
	t.Helper()
	r, err := New(config, log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		r.loop.StopTimer()
		r.listener.Close()
	})
	return r
}

// idleRouter returns a router that knows no server and runs no event loop: the test runs its steps itself.
func idleRouter(t testing.TB) *Router {
	t.Helper()
	return newRouter(t, mustParseConfig(t, configText(unreachable)), zerolog.Nop())
}

// routerWithClockOffset is idleRouter with a wall clock that was ahead by step when the router started.
func routerWithClockOffset(t *testing.T, offset time.Duration) *Router {
	t.Helper()
	config := mustParseConfig(t, configText(unreachable))
	config.wallClock = func() time.Time { return time.Now().Add(offset) }
	return newRouter(t, config, zerolog.Nop())
}

// listServer applies an endpoint list with one server, s-0.
func (r *Router) listServer(now control.Micros, address string, state control.ServerState) {
	r.handleEndpoints(now, []fleet.Endpoint{{Name: "s-0", Address: address, Zone: "east", State: state}})
}

// stepWithServer runs one event-loop step of an idle router, with a current endpoint list that has one ready server,
// s-0.
func (r *Router) stepWithServer(address string) {
	r.listServer(r.loop.Now(), address, control.Ready)
	r.readEndpoints()
	r.step(r.loop.Now(), nil)
}

// runningRouter is a router that serves until the test ends.
type runningRouter struct {
	*Router
	stop context.CancelFunc
	done chan struct{}
}

// serve runs a router until the test ends, without waiting until it is ready.
func serve(t *testing.T, router *Router) *runningRouter {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	r := &runningRouter{router, stop, make(chan struct{})}
	go func() { router.Serve(ctx); close(r.done) }()
	t.Cleanup(func() { stop(); <-r.done })
	return r
}

// serveReady is serve, but waits until the router is ready.
func serveReady(t *testing.T, router *Router) *runningRouter {
	t.Helper()
	r := serve(t, router)
	platformtest.WaitFor(t, "the router is ready", r.ready.Load)
	return r
}

// start runs a router with servers at the given addresses, and waits until it is ready.
func start(t *testing.T, servers ...string) *runningRouter {
	t.Helper()
	return serveReady(t, newRouter(t, testConfig(t, servers...), zerolog.Nop()))
}

// startWith is start with a function that first changes settings or connection functions of the router. The router
// logs at all levels.
func startWith(t *testing.T, change func(r *Router), servers ...string) *runningRouter {
	t.Helper()
	r, _ := startLogged(t, change, servers...)
	return r
}

// startLogged is startWith, but also returns the router's log.
func startLogged(t *testing.T, change func(r *Router), servers ...string) (*runningRouter, *logBuffer) {
	t.Helper()
	log := &logBuffer{}
	router := newRouter(t, testConfig(t, servers...), zerolog.New(log))
	change(router)
	return serveReady(t, router), log
}

// startDeployment runs a router with the given configuration file, without waiting until it is ready.
func startDeployment(t *testing.T, configuration string) *runningRouter {
	t.Helper()
	return serve(t, newRouter(t, mustParseConfig(t, configuration), zerolog.Nop()))
}

// longGrace sets a grace period that is so long that nothing is withdrawn because of the age of the endpoint list.
func longGrace(r *Router) {
	r.config.grace, r.config.connectTimeout = 4_000_000, 1_000_000
	r.config.Deployment.MaxCommandDelay = attempt.MaxEndpointsAge(r.config.grace)
}

// anomalyCount returns how often an anomaly without detail was counted.
func (r *Router) anomalyCount(kind anomaly) int {
	return r.anomalies.count(anomalyDetail{kind: kind})
}

// canWrite reports whether the check before the first byte lets it be written now.
func (call *serverCall) canWrite() bool {
	wrote := false
	call.checkAndWrite(func() bool {
		wrote = true
		return true
	})
	return wrote
}

// logBuffer holds the log of a router.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}
