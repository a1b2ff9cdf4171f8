package chaostest

import (
	"context"
	"fmt"
	"hollymast/internal/rest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// process is one router.
type routerProcess struct {
	number     int
	configFile string
	mu         sync.Mutex
	cmd        *exec.Cmd
	exited     chan struct{}
	exitErr    error
	logFile    *os.File
}

func (r *routerProcess) logName(dir string) string {
	return filepath.Join(dir, fmt.Sprintf("router-%d.log", r.number))
}

func (r *routerProcess) start(bin, dir string) error {
	var err error
	if r.logFile, err = os.OpenFile(r.logName(dir), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	cmd := exec.Command(bin, "serve", r.configFile)
	cmd.Stdout, cmd.Stderr = r.logFile, r.logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	r.mu.Lock()
	r.cmd, r.exited = cmd, ended
	r.mu.Unlock()
	go func() {
		err := cmd.Wait()
		r.mu.Lock()
		r.exitErr = err
		r.mu.Unlock()
		r.logFile.Close()
		close(ended)
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

// end sends a signal and waits for the process; after ten seconds it is killed.
func (r *routerProcess) stop(s syscall.Signal) error {
	r.mu.Lock()
	ended := r.exited
	r.mu.Unlock()
	if ended == nil {
		return nil
	}
	select {
	case <-ended:
		return nil
	default:
	}
	r.signal(s)
	select {
	case <-ended:
	case <-time.After(10 * time.Second): // longer than any job's limit
		r.signal(syscall.SIGKILL)
		<-ended
		return fmt.Errorf("it had to be killed")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s == syscall.SIGKILL {
		return nil
	}
	return r.exitErr
}

// awaitReady waits until a router says that it takes jobs.
func (p *harness) awaitReady(ctx context.Context, i int) error {
	const most = 10 * time.Second
	for end := time.Now().Add(most); time.Now().Before(end); {
		c, err := rest.DialWith(ctx, p.addresses[i], &rest.DefaultLimits, p.pools[i].secure)
		if err == nil {
			res, _, err := c.Do(&rest.Request{Method: "GET", Target: "/v2/health/ready", Header: rest.Header{"Host": {"lab"}}}, time.Now().Add(time.Second))
			c.Close()
			if err == nil && res.Status == 200 {
				return nil
			}
		}
		select {
		case <-p.routers[i].exited:
			return fmt.Errorf("router %d ended before it was ready", i)
		default:
		}
		if err := sleep(ctx, 10*time.Millisecond); err != nil {
			return err
		}
	}
	return fmt.Errorf("router %d was not ready within %s", i, most)
}
