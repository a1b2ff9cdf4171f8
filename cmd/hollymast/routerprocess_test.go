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

// routerProcess is a router in a process of its own.
type routerProcess struct {
	t       *testing.T
	command *exec.Cmd
	file    string // its configuration
	address string
	ended   chan struct{} // closed once it has ended
	err     error         // how; read after that
}

// startRouter starts the router with a configuration; it is killed at the test's end.
func startRouter(t *testing.T, configuration string) *routerProcess {
	t.Helper()
	name := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(name, []byte(configuration), 0o600); err != nil {
		t.Fatal(err)
	}
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), routerArgsEnv+"=platform", "BALANCER_CONFIG="+name)
	if built := os.Getenv(routerBinaryEnv); built != "" {
		command.Path, command.Args = built, []string{built, "platform"}
	}
	log, err := command.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	r := &routerProcess{t: t, command: command, file: name, ended: make(chan struct{})}
	lines := bufio.NewScanner(log)
	for r.address == "" {
		if !lines.Scan() {
			t.Fatalf("it does not serve: %v", command.Wait())
		}
		var line struct{ Message, Listen string }
		if json.Unmarshal(lines.Bytes(), &line); line.Message == "serving" {
			r.address = line.Listen
		}
	}
	go func() {
		defer close(r.ended)
		for lines.Scan() { // its log is read to the end
		}
		r.err = command.Wait()
	}()
	t.Cleanup(func() {
		command.Process.Signal(syscall.SIGCONT)
		command.Process.Kill()
		<-r.ended
	})
	return r
}

// stop stops the process and returns once the kernel says that it stands.
func (r *routerProcess) suspend() {
	r.t.Helper()
	r.signal(syscall.SIGSTOP)
	for range 1000 {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", r.command.Process.Pid))
		if err != nil {
			r.t.Fatal(err)
		}
		if _, state, _ := strings.Cut(string(text), ") "); strings.HasPrefix(state, "T") {
			return
		}
		time.Sleep(time.Millisecond)
	}
	r.t.Fatal("the process does not stop")
}

func (r *routerProcess) resume() {
	r.t.Helper()
	r.signal(syscall.SIGCONT)
}

func (r *routerProcess) signal(s syscall.Signal) {
	r.t.Helper()
	if err := r.command.Process.Signal(s); err != nil {
		r.t.Fatal(err)
	}
}

// configure replaces its configuration.
func (r *routerProcess) writeConfig(text string) {
	r.t.Helper()
	if err := os.WriteFile(r.file, []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
}

// waitWell waits until the router says that it is well.
func (r *routerProcess) waitReady() *platformtest.Client {
	r.t.Helper()
	c := platformtest.Dial(r.t, r.address)
	for range 1000 {
		if c.Healthy() {
			return c
		}
		time.Sleep(5 * time.Millisecond)
	}
	r.t.Fatal("the router does not get well")
	return nil
}

// runInPieces lets a process run for a part of each period only, as on a share of a core, until it is told to end.
func (r *routerProcess) throttle(runs, period time.Duration) (end func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			r.command.Process.Signal(syscall.SIGSTOP)
			time.Sleep(period - runs)
			r.command.Process.Signal(syscall.SIGCONT)
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

// asRouter, where it is set, has the test program run as the router itself.
const routerArgsEnv = "HOLLYMAST_TEST_ARGS"

// builtRouter, where it is set, is a router that was built, to run in the place of the test program.
const routerBinaryEnv = "HOLLYMAST_TEST_ROUTER"

func TestMain(m *testing.M) {
	if args := os.Getenv(routerArgsEnv); args != "" {
		os.Args = append(os.Args[:1], strings.Fields(args)...)
		main()
	}
	os.Exit(m.Run())
}
