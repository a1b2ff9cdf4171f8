package main

import (
	"context"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"hollymast/internal/platform"
	"hollymast/internal/program"
)

type platformCommand struct {
	Name   string `help:"This router's name." env:"BALANCER_NAME"`
	Listen string `help:"Address on which clients connect." env:"BALANCER_LISTEN"`
	Config string `help:"Configuration file of the platform (JSON)." env:"BALANCER_CONFIG" required:""`
	Log    string `help:"Log level: debug logs each attempt, trace also the reasons for rejections." default:"info" enum:"trace,debug,info,warn,error"`
}

// Run serves until SIGTERM or SIGINT.
func (c platformCommand) Run() error {
	// This comes first, since the platform may send either kind of signal at any time. Each kind has its own channel, so that neither can
	// displace the other.
	stops, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)
	env := platform.Environment{Name: c.Name, Listen: c.Listen, File: c.Config}
	config, err := platform.LoadConfigAtStart(env)
	if err != nil {
		return program.UsageError{Err: err}
	}
	limitResources(config)
	log := program.NewLogger(os.Stderr, "hollymast", c.Log)
	p, err := platform.New(config, log)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		<-stops
		stop() // further signals are ignored: requests in flight still get their answer
	}()
	go p.ReloadOn(context.Background(), reloads, env) // until the process exits: a router that is shutting down still follows discovery
	log.Info().Str("listen", p.Address()).Str("name", config.Name).Str("board", config.DiscoveryAddress).Float64("cores", config.Cores).
		Int("memory_mb", config.MemoryMB).Int("sockets", config.Sockets).Msg("serving")
	p.Serve(ctx)
	return nil
}

// heapPercent is the percentage of the granted memory that the Go runtime may use. The platform kills a process that exceeds its grant, in
// which C stacks, the program itself and kernel buffers count too.
const heapPercent = 60

// limitResources sets the Go runtime's limits from what the platform grants: no more running threads than cores, and a soft memory limit.
func limitResources(config *platform.Config) {
	runtime.GOMAXPROCS(max(1, int(config.Cores)))
	if config.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(config.MemoryMB) << 20 * heapPercent / 100)
	}
}
