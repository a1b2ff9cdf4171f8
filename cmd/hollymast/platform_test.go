package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// asRouter, where it is set, has the test program run as the router itself.
const asRouter = "HOLLYMAST_TEST_ARGS"

func TestMain(m *testing.M) {
	if args := os.Getenv(asRouter); args != "" {
		os.Args = append(os.Args[:1], strings.Fields(args)...)
		main()
	}
	os.Exit(m.Run())
}

// An order to stop that comes while a new configuration is read, for however long, is obeyed.
func TestStopCrossesAReload(t *testing.T) {
	name := filepath.Join(t.TempDir(), "config.json")
	text := `{"name": "n0", "listen": "127.0.0.1:0", "seed": "1", "board": "127.0.0.1:1", "limits": {"cores": 1, "sockets": 256},
		"known": {"rev": 0, "notices": []}, "settings": {"balancers": 1, "tick": 1000, "zones": ["east"],
		"ceilings": {"conn_idle": 15000000, "connect_timeout": 250000, "streams_per_conn": 100, "try_limit": 3},
		"classes": [{"name": "again", "aim": 1000000, "hard_limit": 4000000, "semantics": "pure"}],
		"contract": {"stop_sending_within": 500000}, "specifics": {"order_limit": 4000000}}}`
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	router := exec.Command(os.Args[0])
	router.Env = append(os.Environ(), asRouter+"=platform", "BALANCER_CONFIG="+name)
	log, err := router.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := router.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(log)
	for serving := false; !serving; serving = strings.Contains(lines.Text(), `"serving"`) {
		if !lines.Scan() {
			t.Fatalf("it does not serve: %v", router.Wait())
		}
	}
	// From now on the file is a pipe, and reading it takes until somebody writes.
	if err := os.Remove(name); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(name, 0o600); err != nil {
		t.Fatal(err)
	}
	router.Process.Signal(syscall.SIGHUP)
	writer, err := os.OpenFile(name, os.O_WRONLY, 0) // returns once the router has opened it to read
	if err != nil {
		t.Fatal(err)
	}
	defer writer.Close()
	fmt.Fprint(writer, text[:len(text)/2])
	router.Process.Signal(syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() {
		for lines.Scan() { // its log is read to the end
		}
		ended <- router.Wait()
	}()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Error("it goes on")
		router.Process.Kill()
		<-ended
	}
}
