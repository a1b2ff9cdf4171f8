package main

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"hollymast/internal/program"
	"hollymast/internal/replay"
)

// recording is one that an earlier build made.
const recording = "../../internal/replay/testdata/format3.rec"

func TestRun(t *testing.T) {
	other := filepath.Join(t.TempDir(), "other.rec")
	if err := os.WriteFile(other, []byte("something else, of some length"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := (cli{Paths: []string{recording}}).run(); err != nil {
		t.Error(err)
	}
	var usage program.UsageError
	if err := (cli{Paths: []string{recording + ".none"}}).run(); !errors.As(err, &usage) {
		t.Errorf("a missing file: got %v", err)
	}
	if err := (cli{Paths: []string{other}}).run(); err == nil {
		t.Error("a file of another kind was played")
	}
	if err := (cli{Paths: []string{recording}, Against: recording}).run(); !errors.As(err, &usage) {
		t.Errorf("a build that can't be run: got %v", err)
	}
}

func TestDifferenceLine(t *testing.T) {
	command := (&replay.Difference{File: "a.rec", Step: 7, Clock: 5, Request: 3, Recorded: "kill job 3", Replayed: "nothing"}).Error()
	checkpoint := (&replay.Difference{File: "a.rec", Step: 7, AtCheckpoint: true}).Error()
	const summary = "1 segments, 8 steps, 5 decisions compared; 1s of the router's time in 1ms, 1000 times as fast\n"
	for output, want := range map[string]string{
		summary + command + "\n":                      command,
		summary + checkpoint + "\n":                   checkpoint,
		summary + "all decisions are the same" + "\n": "",
		"": "",
	} {
		if got := differenceLine(output); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}
