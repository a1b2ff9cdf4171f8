package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"hollymast/internal/platformtest"
)

// routerArgsEnv, where it is set, has the test program run as the router itself, with these arguments.
const routerArgsEnv = "HOLLYMAST_TEST_ARGS"

// routerBinaryEnv, where it is set, names a built router to run in the test program's place.
const routerBinaryEnv = "HOLLYMAST_TEST_ROUTER"

func TestMain(m *testing.M) {
	if args := os.Getenv(routerArgsEnv); args != "" {
		os.Args = append(os.Args[:1], strings.Fields(args)...)
		main()
	}
	os.Exit(m.Run())
}

// process is a router in a process of its own.
type process struct {
	t       *testing.T
	command *exec.Cmd
	ended   chan struct{} // closed once it has ended
	err     error         // with which it ended; read after that
}

// logLine is what the tests read of the router's log.
type logLine struct{ Message, Listen string }

// startProcess starts a process and returns once a line of its log is the one that ready waits for. It is killed at the test's end.
func startProcess(t *testing.T, command *exec.Cmd, ready func(logLine) bool) *process {
	t.Helper()
	log, err := command.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(log)
	for isReady := false; !isReady; {
		if !lines.Scan() {
			t.Fatalf("it does not serve: %v", command.Wait())
		}
		var line logLine
		json.Unmarshal(lines.Bytes(), &line) // a line of another form is not the one
		isReady = ready(line)
	}
	p := &process{t: t, command: command, ended: make(chan struct{})}
	go func() {
		defer close(p.ended)
		for lines.Scan() { // to its end, else the process would block
		}
		p.err = command.Wait()
	}()
	t.Cleanup(func() {
		command.Process.Signal(syscall.SIGCONT)
		command.Process.Kill()
		<-p.ended
	})
	return p
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// suspend stalls the process and returns once the kernel says that it is stopped.
func (p *process) suspend() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	platformtest.WaitFor(p.t, "the process is stopped", func() bool {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
		if err != nil {
			p.t.Fatal(err)
		}
		_, state, _ := strings.Cut(string(text), ") ")
		return strings.HasPrefix(state, "T")
	})
}

// resume ends a stall.
func (p *process) resume() {
	p.t.Helper()
	p.signal(syscall.SIGCONT)
}

// throttle lets the process run for a part of each period only, as on a share of a core, until end is called.
func (p *process) throttle(runs, period time.Duration) (end func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			p.command.Process.Signal(syscall.SIGSTOP)
			time.Sleep(period - runs)
			p.command.Process.Signal(syscall.SIGCONT)
			select {
			case <-time.After(runs):
			case <-done:
				return
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// routerProcess is a router on the platform.
type routerProcess struct {
	*process
	file    string // its configuration
	address string
}

// startRouter starts a router with a configuration.
func startRouter(t *testing.T, configuration string) *routerProcess {
	t.Helper()
	r := &routerProcess{file: filepath.Join(t.TempDir(), "config.json")}
	if err := os.WriteFile(r.file, []byte(configuration), 0o600); err != nil {
		t.Fatal(err)
	}
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), routerArgsEnv+"=platform", "BALANCER_CONFIG="+r.file)
	if built := os.Getenv(routerBinaryEnv); built != "" {
		command.Path, command.Args = built, []string{built, "platform"}
	}
	r.process = startProcess(t, command, func(line logLine) bool {
		if line.Message != "serving" {
			return false
		}
		r.address = line.Listen
		return true
	})
	return r
}

// writeConfig replaces the router's configuration file.
func (r *routerProcess) writeConfig(text string) {
	r.t.Helper()
	if err := os.WriteFile(r.file, []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
}

// waitReady waits until the router's health check succeeds, and returns the client that asked for it.
func (r *routerProcess) waitReady() *platformtest.Client {
	r.t.Helper()
	c := platformtest.Dial(r.t, r.address)
	for range 1000 {
		if c.CheckHealth() {
			return c
		}
		time.Sleep(5 * time.Millisecond)
	}
	r.t.Fatal("the router does not become ready")
	return nil
}
