package main

import (
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"

	"hollymast/internal/platformtest"
)

// TestStopDuringReload guards against a SIGTERM that is lost, or waits, while a new configuration is read, however long that takes.
func TestStopDuringReload(t *testing.T) {
	text := platformtest.Deployment{Grace: gracePeriod}.Configuration("127.0.0.1:1")
	router := startRouter(t, text)
	name := router.file
	// From now on the file is a pipe, and reading it takes until somebody writes.
	if err := os.Remove(name); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(name, 0o600); err != nil {
		t.Fatal(err)
	}
	router.signal(syscall.SIGHUP)
	writer, err := os.OpenFile(name, os.O_WRONLY, 0) // returns once the router has opened it to read
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
		t.Error("the router goes on")
	}
}
