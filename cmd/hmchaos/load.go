package main

import (
	"errors"
	"fmt"
	"time"

	"hollymast/internal/chaostest"
	"hollymast/internal/program"
)

type loadCmd struct {
	Rates       []int         `default:"1000" help:"Jobs a second; several are measured one after another."`
	Length      time.Duration `default:"10s" help:"Of each stream."`
	Connections int           `default:"64" help:"Client connections."`
	Servers     int           `default:"4" help:"Servers."`
	Functions   int           `default:"20" help:"Functions."`
	Idle        int           `default:"200" help:"Client connections that do nothing."`
	Bytes       int           `default:"64" help:"Bytes of tensors a job."`
	Recording   int           `help:"Measure this many pairs of streams more, one of each while the router records, and replay what was recorded."`
	Memory      int           `help:"Measure this many pairs of streams more, one of each through a router that has a memory."`
	TLS         int           `name:"tls" help:"Measure this many triples of streams more: in plain text, over TLS on all connections, and over TLS while keys change."`
	Strangers   int           `help:"Distinct functions that no server has, asked for in between; the stream is then measured again."`
	Router      string        `help:"The router's program; without, hollymast beside this one." type:"path"`
}

var errNoCount = errors.New("a count below one")

// Run measures the stream at each rate and prints what each path showed.
func (l loadCmd) Run() error {
	router, err := routerProgram(l.Router)
	if err != nil {
		return err
	}
	if min(l.Connections, l.Servers, l.Functions) < 1 || l.Idle < 0 {
		return program.UsageError{Err: errNoCount}
	}
	ctx, stop := untilInterrupted()
	defer stop()
	fmt.Printf("%-20s %8s %8s %8s %8s %8s %8s %10s %10s\n", "path", "asked/s", "kept/s", "failed", "p50 us", "p99 us", "p99.9 us", "CPU us/job", "memory KB")
	for _, rate := range l.Rates {
		results, err := chaostest.RunLoadTest(ctx, chaostest.LoadTest{Rate: rate, Length: l.Length, Connections: l.Connections, Servers: l.Servers,
			Functions: l.Functions, IdleConnections: l.Idle, TensorBytes: l.Bytes, UnknownFunctions: l.Strangers, RecordingPairs: l.Recording,
			TLSTriples: l.TLS, PersistencePairs: l.Memory}, router)
		if err != nil {
			return err
		}
		for _, r := range results {
			printLoad(rate, r)
		}
	}
	return nil
}

func printLoad(rate int, r chaostest.LoadResult) {
	fmt.Printf("%-20s %8d %8.0f %8d %8d %8d %8d %10.1f %10d\n", r.Path, rate, r.Throughput, r.Failed, r.P50, r.P99, r.P999, r.CPUPerRequest, r.MemoryKB)
	if r.RecordedBytes > 0 {
		fmt.Printf("  recorded %.1f bytes a job, %d turns lost, replayed alike %.0f times as fast\n", r.RecordedBytes, r.LostSteps, r.ReplaySpeed)
	}
	if r.Note != "" {
		fmt.Println("  " + r.Note)
	}
	for _, ratio := range r.Ratios {
		fmt.Printf("  with over without, %-9s median %.3f, quartiles %.3f to %.3f\n", ratio.Quantity, ratio.Median, ratio.Lower, ratio.Upper)
	}
}
