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
	Listen string `help:"Where clients connect." env:"BALANCER_LISTEN"`
	Config string `help:"The platform's configuration (JSON)." env:"BALANCER_CONFIG" required:""`
	Log    string `help:"Log level: debug logs each attempt, trace also why requests are rejected." default:"info" enum:"trace,debug,info,warn,error"`
}

// Run serves until a signal ends it.
func (c platformCommand) Run() error {
	// Before all else, since the platform may send either at any time. Each has its own channel, so that none is lost behind the other.
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
		stop() // further signals change nothing: requests in flight still get their answer
	}()
	go p.ReloadOn(context.Background(), reloads, env) // as long as the process: a router that stops still follows discovery
	log.Info().Str("listen", p.Address()).Str("name", config.Name).Str("board", config.DiscoveryAddress).Float64("cores", config.Cores).
		Int("memory_mb", config.MemoryMB).Int("sockets", config.Sockets).Msg("serving")
	p.Serve(ctx)
	return nil
}

// heapPercent is the part of the memory that the platform grants which the Go runtime may use: the platform kills a process beyond the
// grant, and stacks of C code, the program itself and the kernel's buffers count too.
const heapPercent = 60

// limitResources fits the Go runtime to what the platform grants: no more threads than cores, and a soft memory limit.
func limitResources(config *platform.Config) {
	runtime.GOMAXPROCS(max(1, int(config.Cores)))
	if config.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(config.MemoryMB) << 20 * heapPercent / 100)
	}
}
