package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// closedBy is why a client's connection to a router ended.
type closedBy string

const (
	closedByRouter  closedBy = "by the router"
	closedByStop    closedBy = "by a stopping router"
	closedByKill    closedBy = "by a kill"
	closedLateStop  closedBy = "by the kill after SIGTERM"
	closedByItsExit closedBy = "by the router's end"
)

// lateRequest is how long after SIGTERM a request may come that the kill may find unanswered.
const lateRequest = 700 * time.Millisecond

// router is one router of the fleet; its process may be started again.
type router struct {
	run     *run
	number  int
	address string
	file    string // its configuration
	logName string
	random  *rand.Rand // for its seeds

	mu        sync.Mutex
	process   *os.Process
	exited    chan struct{}
	stoppedAt time.Time // when it got SIGTERM; zero: it runs
	killedAt  time.Time
	ready     bool
}

// writeConfig writes the router's configuration as of now.
func (r *router) writeConfig(seed uint64) error {
	service := r.run.discovery
	text, err := r.run.scenario.configuration(r.number, r.address, service.currentAddress(), seed, service.history())
	if err != nil {
		return err
	}
	return os.WriteFile(r.file, text, 0o600)
}

// start starts the process and waits until it is ready.
func (r *router) start() error {
	if err := r.writeConfig(r.random.Uint64()); err != nil {
		return err
	}
	log, err := os.OpenFile(r.logName, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(r.run.options.RouterPath, "platform", "--log", r.run.options.RouterLogLevel)
	command.Env = append(append(os.Environ(), r.run.options.Env...), "BALANCER_CONFIG="+r.file)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		log.Close()
		return err
	}
	exited := make(chan struct{})
	r.mu.Lock()
	r.process, r.exited, r.stoppedAt, r.killedAt, r.ready = command.Process, exited, time.Time{}, time.Time{}, false
	r.mu.Unlock()
	r.run.goes.Go(func() {
		err := command.Wait()
		log.Close()
		r.noteExit(err)
		close(exited)
	})
	return r.awaitReady()
}

// noteExit judges the end of the process.
func (r *router) noteExit(err error) {
	r.mu.Lock()
	asked, killed := !r.stoppedAt.IsZero(), !r.killedAt.IsZero()
	r.ready = false
	r.mu.Unlock()
	if killed || asked && err == nil {
		return
	}
	r.run.ledger.report(time.Now(), RuleNoCrash, "n%d ended: %v", r.number, err)
}

// readyWithin is how long a router may take to be ready.
const readyWithin = 10 * time.Second

// awaitReady waits until the router's health check succeeds.
func (r *router) awaitReady() error {
	for end := time.Now().Add(readyWithin); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if r.healthy() {
			r.mu.Lock()
			r.ready = true
			r.mu.Unlock()
			return nil
		}
	}
	r.run.ledger.report(time.Now(), RuleNoCrash, "n%d is not ready within %v", r.number, readyWithin)
	return fmt.Errorf("n%d is not ready", r.number)
}

// healthy asks the router for its health.
func (r *router) healthy() bool {
	conn, err := net.Dial("tcp", r.address)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	text, err := msgpack.Marshal([]any{0, 1, "isWell", []any{map[string]string{}}})
	if err != nil {
		return false
	}
	if _, err := conn.Write(text); err != nil {
		return false
	}
	answer, err := msgpack.NewDecoder(conn).DecodeSlice()
	if err != nil || len(answer) < 4 {
		return false
	}
	result, ok := answer[3].([]any)
	return ok && len(result) > 0 && result[0] == true
}

// isReady reports whether the front sends clients there.
func (r *router) isReady() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready && r.stoppedAt.IsZero() && r.killedAt.IsZero()
}

// signal sends a signal to the process, if it runs.
func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	process := r.process
	r.mu.Unlock()
	if process != nil {
		process.Signal(s)
	}
}

// kill ends the process outright and waits for its end.
func (r *router) kill() {
	r.mu.Lock()
	r.killedAt = time.Now()
	process, exited := r.process, r.exited
	r.mu.Unlock()
	process.Signal(syscall.SIGCONT)
	if err := process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		r.run.ledger.report(time.Now(), RuleNoCrash, "n%d: %v", r.number, err)
	}
	<-exited
}

// stop sends SIGTERM, and kills what is left at the earliest time.
func (r *router) stop() {
	r.mu.Lock()
	r.stoppedAt, r.ready = time.Now(), false
	exited, at := r.exited, r.stoppedAt
	r.mu.Unlock()
	r.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(time.Until(at.Add(r.run.scenario.earliestKill()))):
		r.kill()
	}
}

// whyClosed tells why a connection ended at a time under a request that was sent at another.
func (r *router) whyClosed(at, sentAt time.Time) closedBy {
	r.mu.Lock()
	defer r.mu.Unlock()
	killed := !r.killedAt.IsZero() && !at.Before(r.killedAt)
	switch {
	case killed && (r.stoppedAt.IsZero() || !sentAt.After(r.stoppedAt.Add(lateRequest))):
		return closedByKill
	case killed:
		return closedLateStop
	case !r.stoppedAt.IsZero():
		return closedByStop
	}
	select {
	case <-r.exited:
		return closedByItsExit
	default:
		return closedByRouter
	}
}

// newRouter prepares the nth router of a run, at a free port of its own address.
func newRouter(run *run, number int) (*router, error) {
	l, err := net.Listen("tcp", run.hostAddress(hostRouters, number)+":0")
	if err != nil {
		return nil, err
	}
	defer l.Close()
	return &router{
		run: run, number: number, address: l.Addr().String(),
		file:    filepath.Join(run.dir, routerName(number)+".json"),
		logName: filepath.Join(run.dir, routerName(number)+".log"),
		random:  newRandom(run.scenario.Seed, routerName(number)),
	}, nil
}
