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

// closeCause is why a client's connection to a router closed.
type closeCause string

const (
	closedByRouter   closeCause = "by the router"
	closedByStop     closeCause = "by a stopping router"
	closedByKill     closeCause = "by a kill"
	closedByLateKill closeCause = "by the kill after SIGTERM"
	closedByExit     closeCause = "by the router's end"
)

// lateRequestWindow is the time after SIGTERM up to which a request may be sent and still be unanswered when the router is killed.
// Later requests must be answered before the kill.
const lateRequestWindow = 700 * time.Millisecond

// router is one router of the fleet. Its process may be restarted during the run.
type router struct {
	run        *run
	number     int
	address    string
	configPath string
	logPath    string
	random     *rand.Rand // source of the seeds in its configuration

	mu        sync.Mutex
	process   *os.Process
	exited    chan struct{}
	stoppedAt time.Time // when SIGTERM was sent to the current process; zero: not yet
	killedAt  time.Time
	ready     bool
}

// writeConfig writes the router's configuration file with the current discovery address and events.
func (r *router) writeConfig(seed uint64) error {
	service := r.run.discovery
	text, err := r.run.scenario.configuration(r.number, r.address, service.currentAddress(), seed, service.history())
	if err != nil {
		return err
	}
	return os.WriteFile(r.configPath, text, 0o600)
}

// start starts the process and waits until it is ready.
func (r *router) start() error {
	if err := r.writeConfig(r.random.Uint64()); err != nil {
		return err
	}
	log, err := os.OpenFile(r.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(r.run.options.RouterPath, "platform", "--log", r.run.options.RouterLogLevel)
	command.Env = append(append(os.Environ(), r.run.options.Env...), "BALANCER_CONFIG="+r.configPath)
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
	r.run.goroutines.Go(func() {
		err := command.Wait()
		log.Close()
		r.checkExit(err)
		close(exited)
	})
	return r.awaitReady()
}

// checkExit reports a violation if the process exited unexpectedly.
func (r *router) checkExit(err error) {
	r.mu.Lock()
	terminated, killed := !r.stoppedAt.IsZero(), !r.killedAt.IsZero()
	r.ready = false
	r.mu.Unlock()
	if killed || terminated && err == nil {
		return
	}
	r.run.ledger.report(time.Now(), RuleNoCrash, "n%d exited unexpectedly: %v", r.number, err)
}

// readyTimeout is how long a router may take from its start until it is ready.
const readyTimeout = 10 * time.Second

// awaitReady waits until the router's health check succeeds.
func (r *router) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if r.healthy() {
			r.mu.Lock()
			r.ready = true
			r.mu.Unlock()
			return nil
		}
	}
	r.run.ledger.report(time.Now(), RuleNoCrash, "n%d was not ready within %v", r.number, readyTimeout)
	return fmt.Errorf("n%d is not ready", r.number)
}

// healthy reports whether the router passes its health check.
func (r *router) healthy() bool {
	conn, err := net.Dial("tcp", r.address)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	message, err := msgpack.Marshal([]any{0, 1, "isWell", []any{map[string]string{}}})
	if err != nil {
		return false
	}
	if _, err := conn.Write(message); err != nil {
		return false
	}
	response, err := msgpack.NewDecoder(conn).DecodeSlice()
	if err != nil || len(response) < 4 {
		return false
	}
	result, ok := response[3].([]any)
	return ok && len(result) > 0 && result[0] == true
}

// isReady reports whether clients may open connections to the router.
func (r *router) isReady() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready && r.stoppedAt.IsZero() && r.killedAt.IsZero()
}

// signal sends a signal to the process, if it was started.
func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	process := r.process
	r.mu.Unlock()
	if process != nil {
		process.Signal(s)
	}
}

// kill kills the process with SIGKILL and waits for its exit.
func (r *router) kill() {
	r.mu.Lock()
	r.killedAt = time.Now()
	process, exited := r.process, r.exited
	r.mu.Unlock()
	process.Signal(syscall.SIGCONT)
	if err := process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		r.run.ledger.report(time.Now(), RuleNoCrash, "n%d could not be killed: %v", r.number, err)
	}
	<-exited
}

// stop sends SIGTERM, and kills the process if it has not exited by the earliest time allowed.
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

// closeCause returns why a connection closed at a time, as it applies to a request sent at sentAt.
func (r *router) closeCause(at, sentAt time.Time) closeCause {
	r.mu.Lock()
	defer r.mu.Unlock()
	killed := !r.killedAt.IsZero() && !at.Before(r.killedAt)
	switch {
	case killed && (r.stoppedAt.IsZero() || !sentAt.After(r.stoppedAt.Add(lateRequestWindow))):
		return closedByKill
	case killed:
		return closedByLateKill
	case !r.stoppedAt.IsZero():
		return closedByStop
	}
	select {
	case <-r.exited:
		return closedByExit
	default:
		return closedByRouter
	}
}

// newRouter prepares the nth router of a run; it listens on a free port of its own loopback address.
func newRouter(run *run, number int) (*router, error) {
	l, err := net.Listen("tcp", run.hostAddress(routerAddresses, number)+":0")
	if err != nil {
		return nil, err
	}
	defer l.Close()
	return &router{
		run: run, number: number, address: l.Addr().String(),
		configPath: filepath.Join(run.dir, routerName(number)+".json"),
		logPath:    filepath.Join(run.dir, routerName(number)+".log"),
		random:     newRandom(run.scenario.Seed, routerName(number)),
	}, nil
}
