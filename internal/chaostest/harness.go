package chaostest

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"hollymast/client"
	"hollymast/internal/fakeserver"
	"hollymast/internal/invariant"
	"hollymast/internal/rest"
)

func itoa(n int) string { return strconv.Itoa(n) }

// play is a day under way.
type harness struct {
	scenario       *Scenario
	dir            string
	program        string
	log            *invariant.Log
	store          *fakeserver.Store
	controlPlane   *fakeserver.ControlPlane // nil: the list is a file
	certificates   *certificates            // nil: connections are in plain text
	servers        []*fakeserver.Server
	routers        []*routerProcess
	addresses      []string
	pools          []*clientPool
	outcomes       []effectOutcome
	restartRetries RestartRetries
	restarts       []restartEvent
	startedAt      time.Time
	logStart       int64            // of the log, when the day began
	libraryClients []*client.Client // of clients that behave as the library

	mu                sync.Mutex
	states            []string // as the list is to tell them
	published         []string // as it does
	publishHolds      int      // troubles that keep the list from being written
	err               error
	brokenConnections int // client connections that ended without an answer, but for lack of time
}

func (p *harness) recordError(err error) {
	p.mu.Lock()
	if p.err == nil {
		p.err = err
	}
	p.mu.Unlock()
}

// broke counts a client's connection that ended without an answer.
func (p *harness) countBrokenConnection(err error) {
	if errors.Is(err, rest.ErrTimeout) {
		return
	}
	p.mu.Lock()
	p.brokenConnections++
	p.mu.Unlock()
}

func (p *harness) startAll(ctx context.Context) error {
	d := p.scenario
	for i := range d.Workers {
		m := p.serverOptions(i)
		m.Handshake = p.certificates.serverSecurity(workerName(i))
		s := fakeserver.New(m, p.store, p.log)
		if err := s.Start(false); err != nil {
			return err
		}
		p.servers = append(p.servers, s)
		p.states = append(p.states, "ready")
	}
	p.published = make([]string, d.Workers)
	p.publish()
	for i := range d.Routers {
		r := &routerProcess{number: i}
		p.routers = append(p.routers, r)
		addr, err := freeAddress()
		if err != nil {
			return err
		}
		p.addresses = append(p.addresses, addr)
		p.pools = append(p.pools, &clientPool{address: addr, secure: p.certificates.clientSecurity("client")})
		r.configFile = filepath.Join(p.dir, fmt.Sprintf("router-%d.ini", i))
		if err := os.WriteFile(r.configFile, p.routerConfig(i), 0o600); err != nil {
			return err
		}
		if err := r.start(p.program, p.dir); err != nil {
			return err
		}
	}
	for i := range p.routers {
		if err := p.awaitReady(ctx, i); err != nil {
			return err
		}
	}
	return p.openLibraryClients()
}

// run plays calls and troubles and counts the effects finished in time.
func (p *harness) drive(ctx context.Context) (in, total int) {
	p.startedAt, p.logStart = time.Now(), p.log.Now()
	var wg sync.WaitGroup
	for _, t := range p.scenario.Faults {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if p.waitUntil(ctx, t.At) == nil {
				p.injectFault(ctx, t)
			}
		}()
	}
	var mu sync.Mutex
	for _, c := range p.scenario.schedule() {
		if p.waitUntil(ctx, c.at) != nil {
			break
		}
		total++
		wg.Add(1)
		go func() {
			defer wg.Done()
			well := p.perform(ctx, c)
			mu.Lock()
			defer mu.Unlock()
			if p.outcomes = append(p.outcomes, effectOutcome{c.router, c.at, well, c.workload.effect, c.workload.importance, c.noisyTenant || c.limitedTenant}); well {
				in++
			}
		}()
	}
	wg.Wait()
	for _, c := range p.pools {
		c.close()
	}
	for _, x := range p.libraryClients {
		x.Close()
	}
	return in, total
}

func (p *harness) waitUntil(ctx context.Context, at time.Duration) error {
	return sleep(ctx, at-time.Since(p.startedAt))
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	return fakeserver.Sleep(ctx, d)
}
