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

// routerArgsEnv is an environment variable that makes the test program run as the router, with the arguments in its value.
const routerArgsEnv = "HOLLYMAST_TEST_ARGS"

// routerBinaryEnv is an environment variable with the path of a router binary to run instead of the test program.
const routerBinaryEnv = "HOLLYMAST_TEST_ROUTER"

func TestMain(m *testing.M) {
	runCrowdFromEnv()
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
	ended   chan struct{} // closed once the process has ended
	err     error         // of the process's end; valid once ended is closed
	// lastState is the last state line of its log; valid once ended is closed.
	lastState string
}

// logLine is the part of a line of the router's log that tests read.
type logLine struct{ Message, Listen string }

// startProcess starts a process and returns once ready returns true for a line of its log. The process is killed at the end of the test.
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
			t.Fatalf("the process ended before it was ready: %v", command.Wait())
		}
		var line logLine
		json.Unmarshal(lines.Bytes(), &line) // lines that are not JSON are ignored
		isReady = ready(line)
	}
	p := &process{t: t, command: command, ended: make(chan struct{})}
	go func() {
		defer close(p.ended)
		for lines.Scan() { // read the log to its end: otherwise the process blocks on a full pipe
			var line logLine
			if json.Unmarshal(lines.Bytes(), &line) == nil && line.Message == "state" {
				p.lastState = lines.Text()
			}
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

// suspend stalls the process with SIGSTOP and returns once the kernel reports it as stopped.
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

// throttle lets the process run only for runTime of each period, as with a share of a core, until end is called.
func (p *process) throttle(runTime, period time.Duration) (end func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			p.command.Process.Signal(syscall.SIGSTOP)
			time.Sleep(period - runTime)
			p.command.Process.Signal(syscall.SIGCONT)
			select {
			case <-time.After(runTime):
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

// routerProcess is a router process that runs the platform command.
type routerProcess struct {
	*process
	file    string // its configuration
	address string
}

// startRouter starts a router with a configuration and waits until it listens.
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

// waitReady waits until the router's health check succeeds and returns the client that made the check.
func (r *routerProcess) waitReady() *platformtest.Client {
	r.t.Helper()
	c := platformtest.Dial(r.t, r.address)
	for range 1000 {
		if c.CheckHealth() {
			return c
		}
		time.Sleep(5 * time.Millisecond)
	}
	r.t.Fatal("the router did not become ready")
	return nil
}
