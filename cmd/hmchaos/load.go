package main

import (
	"errors"
	"fmt"
	"time"

	"hollymast/internal/chaostest"
	"hollymast/internal/program"
)

type loadCmd struct {
	Rates       []int         `default:"1000" help:"Requests per second; several rates are measured one after another."`
	Length      time.Duration `default:"10s" help:"Length of each stream."`
	Connections int           `default:"64" help:"Number of client connections."`
	Servers     int           `default:"4" help:"Number of servers."`
	Functions   int           `default:"20" help:"Number of functions."`
	Idle        int           `default:"200" help:"Number of idle client connections."`
	Bytes       int           `default:"64" help:"Bytes of tensor data per request."`
	Recording   int           `help:"Also measure this many pairs of streams, one of each while the router records, and replay the recordings."`
	Memory      int           `help:"Also measure this many pairs of streams, one of each through a router that persists its state."`
	TLS         int           `name:"tls" help:"Also measure this many triples of streams: without TLS, with TLS on all connections, and with TLS while certificates are rotated."`
	Strangers   int           `help:"Also request this many distinct functions that no server has, and then measure the stream again."`
	Router      string        `help:"Executable of the router; default: hollymast in the directory of this program." type:"path"`
}

var errInvalidLoadCounts = errors.New("--connections, --servers and --functions must be at least 1, and --idle must not be negative")

// Run measures the streams at each rate and prints a result for each path.
func (l loadCmd) Run() error {
	router, err := routerProgram(l.Router)
	if err != nil {
		return err
	}
	if min(l.Connections, l.Servers, l.Functions) < 1 || l.Idle < 0 {
		return program.UsageError{Err: errInvalidLoadCounts}
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
		fmt.Printf("  recorded %.1f bytes per request, %d steps lost, replayed without differences %.0f times as fast\n", r.RecordedBytes, r.LostSteps, r.ReplaySpeed)
	}
	if r.Note != "" {
		fmt.Println("  " + r.Note)
	}
	for _, ratio := range r.Ratios {
		fmt.Printf("  ratio of with to without, %-9s median %.3f, quartiles %.3f to %.3f\n", ratio.Quantity, ratio.Median, ratio.Lower, ratio.Upper)
	}
}
