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

// routerProcess is one router. It can be started again after it has exited.
type routerProcess struct {
	number     int
	address    string
	secure     rest.Handshake // of its clients; nil: no TLS
	configFile string
	logName    string // of the file that its output is appended to

	mu      sync.Mutex
	cmd     *exec.Cmd     // nil: never started
	exited  chan struct{} // closed when cmd has exited
	exitErr error         // of cmd, once it has exited
}

// start starts the router's program. The process is killed if this one dies.
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

// pid is the identifier of a router that was started.
func (r *routerProcess) pid() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cmd.Process.Pid
}

// shutdownTimeout is how long a router may take to shut down: longer than any request's deadline.
const shutdownTimeout = 10 * time.Second

var errShutdownTimeout = errors.New("it had to be killed")

// stop sends a signal and waits until the process has exited; one that takes too long is killed. The error is how the process
// exited, but none for a process that had exited before or was to be killed.
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

// Bounds of the wait for a router that starts.
const (
	readyTimeout      = 10 * time.Second
	readyInterval     = 10 * time.Millisecond
	readyProbeTimeout = time.Second
)

// awaitReady waits until the router's readiness probe succeeds.
func (r *routerProcess) awaitReady(ctx context.Context) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); {
		if probeReady(ctx, r.address, r.secure) {
			return nil
		}
		select {
		case <-r.exited:
			return fmt.Errorf("router %d ended before it was ready", r.number)
		default:
		}
		if err := sleep(ctx, readyInterval); err != nil {
			return err
		}
	}
	return fmt.Errorf("router %d was not ready within %s", r.number, readyTimeout)
}

func probeReady(ctx context.Context, address string, secure rest.Handshake) bool {
	c, err := rest.DialWithHandshake(ctx, address, &rest.DefaultLimits, secure)
	if err != nil {
		return false
	}
	defer c.Close()
	res, _, err := c.Do(&rest.Request{Method: http.MethodGet, Target: "/v2/health/ready", Header: rest.Header{"Host": {hostHeader}}}, time.Now().Add(readyProbeTimeout))
	return err == nil && res.Status == http.StatusOK
}

// hostHeader is the Host header of probes.
const hostHeader = "lab"
