package chaostest

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"hollymast/internal/rest"
)

// rotationInterval is the time between two renewals of all certificates in the third stream of each triple. It is far
// shorter than in any deployment.
const rotationInterval = 500 * time.Millisecond

// measureTLS measures triples of streams: through the plain router, through a router with TLS to clients and servers, and through
// the latter while certificates are rotated. It also measures the cost of opening a connection.
func (run *loadRun) measureTLS(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	certificates, err := issueCertificates(ctx, filepath.Join(run.dir, "keys"), 1)
	if err != nil {
		return err
	}
	defer func() {
		cancel()
		certificates.wait()
	}()
	router, err := run.startTLS(ctx, certificates)
	if err != nil {
		return err
	}
	defer router.stop(syscall.SIGKILL)
	if err := run.warmUp(ctx, router); err != nil {
		return err
	}
	plain := func(int) (LoadResult, error) { return run.measure(ctx, "router, plain", run.LoadTest, run.plain) }
	withTLS := func(int) (LoadResult, error) { return run.measure(ctx, "router, TLS", run.LoadTest, router) }
	rotating := func(int) (LoadResult, error) { return run.measureRotating(ctx, certificates, router) }
	ratios, err := measurePairs(run.TLSTriples, withTLS, plain)
	if err != nil {
		return err
	}
	run.lastResult().Ratios = ratios
	if ratios, err = measurePairs(run.TLSTriples, rotating, withTLS); err != nil {
		return err
	}
	run.lastResult().Ratios = ratios
	run.lastResult().Note, err = measureConnectionCost(ctx, run.plain, router)
	return err
}

// startTLS starts a router and echo servers that use TLS on all connections.
func (run *loadRun) startTLS(ctx context.Context, certificates *certificates) (*routerProcess, error) {
	endpoints := filepath.Join(run.dir, "secret-workers.ini")
	if _, err := run.startServers(ctx, endpoints, certificates.serverHandshake(workerName(0))); err != nil {
		return nil, err
	}
	return run.startRouter(ctx, loadRouterConfig{name: "secret", endpoints: endpoints, extraSections: certificates.routerConfig(),
		handshake: certificates.clientHandshake(clientOwner)})
}

// measureRotating measures a stream while certificates are rotated.
func (run *loadRun) measureRotating(ctx context.Context, certificates *certificates, router *routerProcess) (LoadResult, error) {
	rotationCtx, stopRotation := context.WithCancel(ctx)
	rotated := make(chan error, 1)
	go func() { rotated <- renewAll(rotationCtx, certificates) }()
	result, err := run.measure(ctx, "router, keys change", run.LoadTest, router)
	stopRotation()
	if rotationErr := <-rotated; err == nil {
		err = rotationErr
	}
	return result, err
}

// renewAll repeatedly renews the certificates of all connections of a load test until ctx is done.
func renewAll(ctx context.Context, certificates *certificates) error {
	for sleep(ctx, rotationInterval) == nil {
		for _, owner := range []string{routerToWorkers, routerToClients, workerName(0), clientOwner} {
			if err := certificates.renew(owner, time.Millisecond); err != nil {
				return err
			}
		}
	}
	return nil
}

const (
	connectRounds  = 500
	connectTimeout = time.Second
)

// connectCost is the cost of opening connections to a router.
type connectCost struct {
	router *routerProcess
	times  []time.Duration // from dialing to the response, one for each connection
	cpu    time.Duration   // CPU time of the router per connection
}

// measureConnectionCost measures new connections, alternately without and with TLS. Each carries one request, which the router
// answers itself.
func measureConnectionCost(ctx context.Context, plain, withTLS *routerProcess) (note string, err error) {
	costs := []*connectCost{{router: plain}, {router: withTLS}}
	before := []time.Duration{cpuTime(plain.pid()), cpuTime(withTLS.pid())}
	for range connectRounds {
		for _, c := range costs {
			if err := c.connect(ctx); err != nil {
				return "", err
			}
		}
	}
	for i, c := range costs {
		c.cpu = (cpuTime(c.router.pid()) - before[i]) / connectRounds
		slices.Sort(c.times)
	}
	return fmt.Sprintf("a connection with one request: plain %s; TLS %s", costs[0], costs[1]), nil
}

func (c *connectCost) connect(ctx context.Context) error {
	startedAt := time.Now()
	conn, err := rest.DialWithHandshake(ctx, c.router.address, &rest.DefaultLimits, c.router.handshake)
	if err != nil {
		return err
	}
	_, _, err = conn.Do(&rest.Request{Method: http.MethodGet, Target: "/v2/health/live", Header: rest.Header{"Host": {hostHeader}}}, time.Now().Add(connectTimeout))
	conn.Close()
	if err != nil {
		return err
	}
	c.times = append(c.times, time.Since(startedAt))
	return nil
}

// String formats the cost. The times must be complete and sorted.
func (c *connectCost) String() string {
	return fmt.Sprintf("median %s p99 %s, router's CPU %s", c.times[connectRounds/2], c.times[connectRounds*99/100], c.cpu)
}
