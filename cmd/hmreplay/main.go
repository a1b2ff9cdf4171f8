// Command hmreplay plays recordings through the core of this build and compares every decision.
package main

import (
	"cmp"
	"errors"
	"fmt"
	"os/exec"
	"strconv"
	"strings"
	"time"

	"hollymast/control"
	"hollymast/internal/program"
	"hollymast/internal/record"
	"hollymast/internal/replay"
)

type cli struct {
	program.CommonFlags
	Paths []string `arg:"" help:"Segments in order, or a folder of them." type:"path"`
	From  uint64   `help:"First turn to compare."`
	Until uint64   `help:"Last turn; 0: the end."`
	Job   uint64   `help:"Only decisions for this job."`
	Show  bool     `help:"Print each decision."`

	Against string `help:"Another build's hmreplay: plays the same recordings, and the two are held against each other." type:"path"`
}

func main() {
	var c cli
	program.Parse(&c, "hmreplay", `Plays recordings of a router through this build and compares every decision.

Examples:

  hmreplay REC                               exit 1 at the first difference

  hmreplay REC --job 300 --show              what was decided about a job`)
	program.Exit("hmreplay", c.run())
}

func (c cli) run() error {
	files, err := record.ExpandPaths(c.Paths)
	if err != nil {
		return program.UsageError{Err: err}
	}
	r := replay.Range{From: c.From, Until: c.Until, Request: control.RequestID(c.Job)}
	if c.Show {
		r.OnCommand = func(turn uint64, clock control.Micros, d record.Command) { fmt.Printf("%d %d %s\n", turn, clock, d) }
	}
	begun := time.Now()
	a, err := replay.Play(files, r)
	took := time.Since(begun)
	var different *replay.Difference
	if err != nil && !errors.As(err, &different) {
		if errors.Is(err, record.ErrNewer) {
			err = program.UsageError{Err: err}
		}
		return err
	}
	played := time.Duration(a.Last-a.First) * time.Microsecond
	fmt.Printf("%d segments, %d turns, %d decisions compared; %s of the router's time in %s, %.0f times as fast\n", a.Segments, a.Steps, a.Commands,
		played.Round(time.Millisecond), took.Round(time.Millisecond), played.Seconds()/took.Seconds())
	if a.Stalls > 0 {
		fmt.Printf("the router stood still %d times for over a second, for %s at the longest\n", a.Stalls, time.Duration(a.LongestStall)*time.Microsecond)
	}
	if a.LostSteps > 0 {
		fmt.Printf("%d turns were lost by the recording\n", a.LostSteps)
	}
	for _, d := range a.Damaged {
		fmt.Println(d)
	}
	if c.Against != "" {
		return c.against(files, different)
	}
	if different != nil {
		fmt.Println(different)
		return errors.New("decisions differ")
	}
	fmt.Println("all decisions are the same")
	return nil
}

// against has another build play the same segments. Both are held against the recording, so they decide alike if they
// first leave it with the same decision, or neither does.
func (c cli) against(files []string, ours *replay.Difference) error {
	args := []string{"--from", strconv.FormatUint(c.From, 10), "--until", strconv.FormatUint(c.Until, 10), "--job", strconv.FormatUint(c.Job, 10)}
	out, err := exec.Command(c.Against, append(args, files...)...).Output()
	var exit *exec.ExitError
	if err != nil && (!errors.As(err, &exit) || exit.ExitCode() != program.ExitFailure) {
		return program.UsageError{Err: fmt.Errorf("%s: %w", c.Against, err)}
	}
	theirs := ""
	for line := range strings.Lines(string(out)) {
		if strings.Contains(line, ", now ") || strings.Contains(line, "differs from the checkpoint") {
			theirs = strings.TrimSpace(line)
		}
	}
	mine := ""
	if ours != nil {
		mine = ours.Error()
	}
	if mine == theirs {
		fmt.Println("both builds decide the same")
		return nil
	}
	fmt.Printf("this build:  %s\nother build: %s\n", cmp.Or(mine, "as recorded"), cmp.Or(theirs, "as recorded"))
	return errors.New("the builds differ")
}
