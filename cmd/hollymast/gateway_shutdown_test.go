package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hollymast/internal/fakeserver"
	"hollymast/internal/invariant"
	"hollymast/internal/rest"
)

// shortDeadlineSettings is a format of settings with deadlines of 50 ms. Its argument is the endpoint list file.
const shortDeadlineSettings = `
[router]
listen = 127.0.0.1:0
list = %s
[clients]
answer_margin = 5ms
[workload quick]
start_target = 30ms
time_limit = 50ms
effect = restartable
[function *]
workload = quick
lanes = 1
`

// startGateway starts a gateway and waits until it has applied its endpoint list.
func startGateway(t *testing.T, settings string) (address string, gateway *process) {
	t.Helper()
	name := filepath.Join(t.TempDir(), "router.ini")
	if err := os.WriteFile(name, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), routerArgsEnv+"=serve "+name)
	if built := os.Getenv(routerBinaryEnv); built != "" {
		command.Path, command.Args = built, []string{built, "serve", name}
	}
	gateway = startProcess(t, command, func(line logLine) bool {
		if line.Message == "serving" {
			address = line.Listen
		}
		return line.Message == "endpoint list applied"
	})
	return address, gateway
}

// persistentClient sends requests one after another on a persistent connection, and reconnects if it breaks.
type persistentClient struct {
	address    string
	pause      time.Duration // between two requests
	answered   int
	unanswered []string // requests that were sent completely and got no answer
}

// run sends requests as long as keepRunning returns true.
func (client *persistentClient) run(keepRunning func() bool) {
	for keepRunning() {
		c, err := rest.Dial(context.Background(), client.address, &rest.DefaultLimits)
		if err != nil {
			if errors.Is(err, syscall.ECONNREFUSED) {
				time.Sleep(client.pause)
			}
			continue
		}
		for keepRunning() && !c.Stale() {
			sentAt := time.Now()
			request := &rest.Request{Method: "POST", Target: "/v2/models/m/infer", Header: rest.Header{"Host": {"a"}}, Body: []byte(`{"inputs":[]}`)}
			response, progress, err := c.Do(request, sentAt.Add(time.Second))
			switch {
			case err == nil:
				client.answered++
			case progress >= rest.FullyWritten:
				client.unanswered = append(client.unanswered, fmt.Sprintf("after %v: %v", time.Since(sentAt).Round(time.Millisecond), err))
			}
			if err != nil || response.Close {
				break
			}
			time.Sleep(client.pause)
		}
		c.Close()
	}
}

// TestGatewayShutdownWithShortDeadlines guards against requests that are still unanswered at the earliest time of a kill after SIGTERM,
// which is 0.75 s with deadlines of 50 ms. Until then, clients with short and with long pauses keep sending on open connections.
func TestGatewayShutdownWithShortDeadlines(t *testing.T) {
	const (
		runs          = 4
		clients       = 48
		trafficBefore = 400 * time.Millisecond
		killAfter     = 750 * time.Millisecond
	)
	server := fakeserver.New(fakeserver.Config{MaxReplicas: 20, Lanes: 20, Cores: 8, ExecutionTime: 5 * time.Millisecond, QueueLimit: 200,
		LoadTime: time.Millisecond, MaxConcurrentLoads: 8, OverloadRate: 1e6, OverloadWindow: time.Second, Seed: 1},
		fakeserver.NewStore(time.Millisecond, 8), invariant.NewLog())
	if err := server.Start(false); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Stop)
	endpoints := filepath.Join(t.TempDir(), "workers.ini")
	if err := os.WriteFile(endpoints, fmt.Appendf(nil, "[a]\naddress = %s\n", server.Address()), 0o600); err != nil {
		t.Fatal(err)
	}
	answered := 0
	for range runs {
		address, gateway := startGateway(t, fmt.Sprintf(shortDeadlineSettings, endpoints))
		var killed atomic.Bool
		all := make([]persistentClient, clients)
		var wg sync.WaitGroup
		for i := range all {
			all[i] = persistentClient{address: address, pause: time.Duration(1+7*i) * time.Millisecond}
			wg.Go(func() { all[i].run(func() bool { return !killed.Load() }) })
		}
		time.Sleep(trafficBefore)
		gateway.signal(syscall.SIGTERM)
		time.Sleep(killAfter)
		killed.Store(true)
		gateway.command.Process.Kill() // it may have ended
		wg.Wait()
		for i := range all {
			answered += all[i].answered
			for _, text := range all[i].unanswered {
				t.Errorf("client with pauses of %v: request not answered: %s", all[i].pause, text)
			}
		}
	}
	t.Logf("%d answered", answered)
	if answered == 0 {
		t.Error("no request was answered")
	}
}

// A gateway keeps running on SIGHUP, and still shuts down cleanly afterwards.
func TestGatewayReload(t *testing.T) {
	endpoints := filepath.Join(t.TempDir(), "workers.ini")
	if err := os.WriteFile(endpoints, []byte("[a]\naddress = 127.0.0.1:1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, gateway := startGateway(t, fmt.Sprintf(shortDeadlineSettings, endpoints))
	gateway.signal(syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond) // else SIGTERM could be handled before SIGHUP
	gateway.signal(syscall.SIGTERM)
	select {
	case <-gateway.ended:
		if gateway.err != nil {
			t.Error(gateway.err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the gateway did not stop within 10 s")
	}
}
