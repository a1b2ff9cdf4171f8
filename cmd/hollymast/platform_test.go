package main

import (
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"

	"hollymast/internal/platformtest"
)

// TestStopDuringReload guards against a SIGTERM that is lost or delayed while a new configuration is read, however long that takes.
func TestStopDuringReload(t *testing.T) {
	text := platformtest.Deployment{Grace: gracePeriod}.Configuration("127.0.0.1:1")
	router := startRouter(t, text)
	name := router.file
	// Replace the file by a named pipe, so that reading it blocks until the test writes.
	if err := os.Remove(name); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(name, 0o600); err != nil {
		t.Fatal(err)
	}
	router.signal(syscall.SIGHUP)
	writer, err := os.OpenFile(name, os.O_WRONLY, 0) // returns once the router has opened the pipe for reading
	if err != nil {
		t.Fatal(err)
	}
	defer writer.Close()
	fmt.Fprint(writer, text[:len(text)/2])
	router.signal(syscall.SIGTERM)
	select {
	case <-router.ended:
		if router.err != nil {
			t.Error(router.err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the router did not stop within 10 s")
	}
}
