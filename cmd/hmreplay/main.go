// Command hmreplay replays recordings through the core of this build and compares every decision.
package main

import (
	"errors"
	"fmt"
	"time"

	"hollymast/control"
	"hollymast/internal/program"
	"hollymast/internal/record"
	"hollymast/internal/replay"
)

type cli struct {
	program.CommonFlags
	Paths []string `arg:"" help:"Segment files in order, or a directory of them." type:"path"`
	From  uint64   `help:"First step to compare."`
	Until uint64   `help:"Last step to compare; 0: until the end."`
	Job   uint64   `help:"Compare only decisions about this request."`
	Show  bool     `help:"Print each decision."`

	Against string `help:"Another build's hmreplay, which replays the same recordings; the decisions of both builds are compared." type:"path"`
}

func main() {
	var c cli
	program.Parse(&c, "hmreplay", `Replays recordings of a router with this build and compares every decision.

Examples:

  hmreplay REC                               exit 1 at the first difference

  hmreplay REC --job 300 --show              what was decided about a request`)
	program.Exit("hmreplay", c.run())
}

func (c cli) run() error {
	files, err := record.ExpandPaths(c.Paths)
	if err != nil {
		return program.UsageError{Err: err}
	}
	options := replay.Options{From: c.From, Until: c.Until, Request: control.RequestID(c.Job)}
	if c.Show {
		options.OnCommand = func(step uint64, clock control.Micros, command record.Command) {
			fmt.Printf("%d %d %s\n", step, clock, command)
		}
	}
	start := time.Now()
	summary, err := replay.Play(files, options)
	duration := time.Since(start)
	var difference *replay.Difference
	if err != nil && !errors.As(err, &difference) {
		if errors.Is(err, record.ErrNewerVersion) {
			err = program.UsageError{Err: err}
		}
		return err
	}
	printSummary(summary, duration)
	if c.Against != "" {
		return c.compareWithBuild(files, difference)
	}
	if difference != nil {
		fmt.Println(difference)
		return errors.New("decisions differ")
	}
	fmt.Println("all decisions are the same")
	return nil
}

func printSummary(s replay.Summary, duration time.Duration) {
	played := time.Duration(s.Last-s.First) * time.Microsecond
	fmt.Printf("%d segments, %d steps, %d decisions compared; %s of the router's time in %s, %.0f times as fast\n",
		s.Segments, s.Steps, s.Commands, played.Round(time.Millisecond), duration.Round(time.Millisecond), played.Seconds()/duration.Seconds())
	if s.Stalls > 0 {
		fmt.Printf("the router was stalled %d times for over a second, %s at the longest\n",
			s.Stalls, time.Duration(s.LongestStall)*time.Microsecond)
	}
	if s.LostSteps > 0 {
		fmt.Printf("%d steps were lost by the recording\n", s.LostSteps)
	}
	for _, damage := range s.Damaged {
		fmt.Println(damage)
	}
}
