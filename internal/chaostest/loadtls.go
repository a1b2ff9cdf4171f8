package chaostest

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"hollymast/internal/rest"
)

// keysEvery is how often keys change in the third stream of each triple: far oftener than anyone renews.
const rotationInterval = 500 * time.Millisecond

// measureTLS measures triples of streams: through the router in plain text, through another over TLS on both its sides, and the
// same while its keys change. It also measures what a new connection costs.
func measureTLS(ctx context.Context, load LoadTest, program, dir, settings, plain string, pid int) (measured []LoadResult, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	k, err := issueCertificates(ctx, filepath.Join(dir, "keys"), 1)
	if err != nil {
		return nil, err
	}
	var list bytes.Buffer
	for i := range load.Servers {
		a, err := startEchoServer(ctx, k.serverSecurity(workerName(0)))
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(&list, "[%d]\naddress = %s\n", i, a)
	}
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	other := &routerProcess{number: 2, configFile: filepath.Join(dir, "secret.ini")}
	text := strings.Replace(settings, plain, address, 1)
	for _, line := range strings.Split(settings, "\n") {
		switch {
		case strings.HasPrefix(line, "admin ="):
			text = strings.Replace(text, line+"\n", "", 1)
		case strings.HasPrefix(line, "list ="):
			text = strings.Replace(text, line, "list = "+filepath.Join(dir, "secret-workers.ini"), 1)
		}
	}
	text += k.routerConfig(false)
	if err := os.WriteFile(other.configFile, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(dir, "secret-workers.ini"), list.Bytes(), 0o600); err != nil {
		return nil, err
	}
	if err := other.start(program, dir); err != nil {
		return nil, err
	}
	defer other.stop(syscall.SIGKILL)
	secure := k.stores["client"].ClientHandshake
	p := &harness{addresses: []string{address}, routers: []*routerProcess{other}, pools: []*clientPool{{address: address, secure: secure}}}
	if err := p.awaitReady(ctx, 0); err != nil {
		return nil, err
	}
	secret := load
	secret.secure = secure
	one := func(path string, load LoadTest, address string, pid int) (LoadResult, error) {
		m, err := measureThrough(ctx, path, load, address, pid)
		measured = append(measured, m)
		return m, err
	}
	changing := func(path string) (LoadResult, error) {
		stop, stopped := context.WithCancel(ctx)
		done := make(chan error, 1)
		go func() {
			for sleep(stop, rotationInterval) == nil {
				for _, o := range []string{routerToWorkers, routerToClients, workerName(0), "client"} {
					if err := k.renew(o, time.Millisecond); err != nil {
						done <- err
						return
					}
				}
			}
			done <- nil
		}()
		m, err := one(path, secret, address, other.cmd.Process.Pid)
		stopped()
		if kerr := <-done; err == nil {
			err = kerr
		}
		return m, err
	}
	if _, err := runStream(ctx, LoadTest{Rate: min(load.Rate, 1000), Length: time.Second, Connections: load.Connections, Functions: load.Functions, secure: secure},
		[]string{address}); err != nil {
		return nil, err
	}
	ratios, err := measurePairs(load.TLSTriples, func(on bool, _ int) (LoadResult, error) {
		if !on {
			return one("router, plain", load, plain, pid)
		}
		return one("router, TLS", secret, address, other.cmd.Process.Pid)
	})
	if err != nil {
		return measured, err
	}
	measured[len(measured)-1].Ratios = ratios
	ratios, err = measurePairs(load.TLSTriples, func(on bool, _ int) (LoadResult, error) {
		if !on {
			return one("router, TLS", secret, address, other.cmd.Process.Pid)
		}
		return changing("router, keys change")
	})
	if err != nil {
		return measured, err
	}
	last := &measured[len(measured)-1]
	last.Ratios = ratios
	last.Note, err = measureConnecting(ctx, plain, address, secure, pid, other.cmd.Process.Pid)
	return measured, err
}

// connecting measures new connections, each with one request that the router answers itself, in plain text and over TLS by turns.
func measureConnecting(ctx context.Context, plain, address string, secure rest.Handshake, plainPid, pid int) (string, error) {
	const times = 500
	var took [2][]time.Duration
	before := [2]time.Duration{cpuTime(plainPid), cpuTime(pid)}
	for range times {
		for i, to := range []string{plain, address} {
			begun := time.Now()
			s := secure
			if i == 0 {
				s = nil
			}
			c, err := rest.DialWith(ctx, to, &rest.DefaultLimits, s)
			if err != nil {
				return "", err
			}
			_, _, err = c.Do(&rest.Request{Method: "GET", Target: "/v2/health/live", Header: rest.Header{"Host": {"lab"}}}, time.Now().Add(time.Second))
			c.Close()
			if err != nil {
				return "", err
			}
			took[i] = append(took[i], time.Since(begun))
		}
	}
	after := [2]time.Duration{cpuTime(plainPid), cpuTime(pid)}
	for i := range took {
		slices.Sort(took[i])
	}
	return fmt.Sprintf("a connection with one request: plain median %s p99 %s, router's CPU %s; TLS median %s p99 %s, router's CPU %s", took[0][times/2], took[0][times*99/100],
		(after[0]-before[0])/times, took[1][times/2], took[1][times*99/100], (after[1]-before[1])/times), nil
}
