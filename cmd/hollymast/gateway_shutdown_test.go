package main

import (
	"bufio"
	"context"
	"encoding/json"
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

const shortDeadlines = `
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

// startGateway starts the router with an HTTP way in; it is killed at the test's end.
func startGateway(t *testing.T, settings string) (address string, process *os.Process) {
	t.Helper()
	name := filepath.Join(t.TempDir(), "router.ini")
	if err := os.WriteFile(name, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), routerArgsEnv+"=serve "+name)
	log, err := command.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(log)
	for ready := false; !ready; {
		if !lines.Scan() {
			t.Fatalf("it does not serve: %v", command.Wait())
		}
		var line struct{ Message, Listen string }
		json.Unmarshal(lines.Bytes(), &line)
		if line.Message == "serving" {
			address = line.Listen
		}
		ready = line.Message == "list of servers taken"
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for lines.Scan() { // its log is read to the end
		}
		command.Wait()
	}()
	t.Cleanup(func() {
		command.Process.Kill()
		<-ended
	})
	return address, command.Process
}

// asker is a client with one open connection that goes on sending.
type openClient struct {
	address    string
	pause      time.Duration
	answered   int
	unanswered []string
}

func (a *openClient) run(until func() bool) {
	for until() {
		c, err := rest.Dial(context.Background(), a.address, &rest.DefaultLimits)
		if err != nil {
			if errors.Is(err, syscall.ECONNREFUSED) {
				time.Sleep(a.pause)
			}
			continue
		}
		for until() && !c.Stale() {
			sent := time.Now()
			p, progress, err := c.Do(&rest.Request{Method: "POST", Target: "/v2/models/m/infer", Header: rest.Header{"Host": {"a"}}, Body: []byte(`{"inputs":[]}`)}, sent.Add(time.Second))
			switch {
			case err == nil:
				a.answered++
			case progress < rest.WrittenWhole:
			default:
				a.unanswered = append(a.unanswered, fmt.Sprintf("after %v: %v", time.Since(sent).Round(time.Millisecond), err))
			}
			if err != nil || p.Close {
				break
			}
			time.Sleep(a.pause)
		}
		c.Close()
	}
}

// Told to stop with deadlines of 50 ms, the router may be killed 0.75 s later. Clients go on sending on open connections until
// then, quick ones and slow ones: each request has its answer.
func TestStopWithShortDeadlines(t *testing.T) {
	server := fakeserver.New(fakeserver.Config{MaxReplicas: 20, Lanes: 20, Cores: 8, ExecutionTime: 5 * time.Millisecond, QueueLimit: 200, LoadTime: time.Millisecond, MaxLoads: 8,
		OverloadRate: 1e6, OverloadWindow: time.Second, Seed: 1}, fakeserver.NewStore(time.Millisecond, 8), invariant.NewLog())
	if err := server.Start(false); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Stop)
	list := filepath.Join(t.TempDir(), "workers.ini")
	if err := os.WriteFile(list, fmt.Appendf(nil, "[a]\naddress = %s\n", server.Address()), 0o600); err != nil {
		t.Fatal(err)
	}
	answered := 0
	for range 4 {
		address, process := startGateway(t, fmt.Sprintf(shortDeadlines, list))
		var over atomic.Bool
		askers := make([]openClient, 48)
		var wg sync.WaitGroup
		for i := range askers {
			askers[i] = openClient{address: address, pause: time.Duration(1+7*i) * time.Millisecond}
			wg.Go(func() { askers[i].run(func() bool { return !over.Load() }) })
		}
		time.Sleep(400 * time.Millisecond)
		process.Signal(syscall.SIGTERM)
		time.Sleep(750 * time.Millisecond)
		over.Store(true)
		process.Signal(syscall.SIGKILL)
		wg.Wait()
		for i := range askers {
			answered += askers[i].answered
			for _, text := range askers[i].unanswered {
				t.Errorf("client that asks every %v: no answer %s", askers[i].pause, text)
			}
		}
	}
	t.Logf("%d answered", answered)
	if answered == 0 {
		t.Error("nothing was asked")
	}
}
