package chaostest

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"hollymast/internal/rest"
)

// routerProcess is the process of one router. It can be started again after it has exited.
type routerProcess struct {
	number     int
	address    string
	handshake  rest.Handshake // of connections from clients; nil: no TLS
	configFile string
	logName    string // file that the process's output is appended to

	mu      sync.Mutex
	cmd     *exec.Cmd     // nil: never started
	exited  chan struct{} // closed when cmd has exited
	exitErr error         // of cmd, once it has exited
}

// start starts the router from the given executable. The process is killed if this one dies.
func (r *routerProcess) start(program string) error {
	log, err := os.OpenFile(r.logName, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program, "serve", r.configFile)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	r.mu.Lock()
	r.cmd, r.exited = cmd, exited
	r.mu.Unlock()
	go func() { // ends with the process
		err := cmd.Wait()
		r.mu.Lock()
		r.exitErr = err
		r.mu.Unlock()
		log.Close()
		close(exited)
	}()
	return nil
}

func (r *routerProcess) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd != nil {
		r.cmd.Process.Signal(s)
	}
}

// pid returns the process ID. The router must have been started.
func (r *routerProcess) pid() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cmd.Process.Pid
}

// shutdownTimeout is how long a router may take to shut down: longer than any request's deadline.
const shutdownTimeout = 10 * time.Second

var errShutdownTimeout = errors.New("killed after the shutdown timeout")

// stop sends a signal and waits until the process has exited. It kills a process that takes longer than shutdownTimeout. The error
// is that of the process's exit, or nil if the process had already exited or if the signal is SIGKILL.
func (r *routerProcess) stop(s syscall.Signal) error {
	r.mu.Lock()
	exited := r.exited
	r.mu.Unlock()
	if exited == nil {
		return nil
	}
	select {
	case <-exited:
		return nil
	default:
	}
	r.signal(s)
	select {
	case <-exited:
	case <-time.After(shutdownTimeout):
		r.signal(syscall.SIGKILL)
		<-exited
		return errShutdownTimeout
	}
	if s == syscall.SIGKILL {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.exitErr
}

// Timeouts and polling interval of the wait for a router that starts.
const (
	readyTimeout      = 10 * time.Second
	readyInterval     = 10 * time.Millisecond
	readyProbeTimeout = time.Second
)

// awaitReady waits until the router's readiness probe succeeds.
func (r *routerProcess) awaitReady(ctx context.Context) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); {
		if probeReady(ctx, r.address, r.handshake) {
			return nil
		}
		select {
		case <-r.exited:
			return fmt.Errorf("router %d exited before it was ready", r.number)
		default:
		}
		if err := sleep(ctx, readyInterval); err != nil {
			return err
		}
	}
	return fmt.Errorf("router %d was not ready within %s", r.number, readyTimeout)
}

func probeReady(ctx context.Context, address string, handshake rest.Handshake) bool {
	c, err := rest.DialWithHandshake(ctx, address, &rest.DefaultLimits, handshake)
	if err != nil {
		return false
	}
	defer c.Close()
	res, _, err := c.Do(&rest.Request{Method: http.MethodGet, Target: "/v2/health/ready", Header: rest.Header{"Host": {hostHeader}}}, time.Now().Add(readyProbeTimeout))
	return err == nil && res.Status == http.StatusOK
}

// hostHeader is the Host header of probes.
const hostHeader = "lab"
