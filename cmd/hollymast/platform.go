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
	Log    string `help:"Log level: debug tells of each execution, trace also why jobs are turned away." default:"info" enum:"trace,debug,info,warn,error"`
}

func (o platformCommand) Run() error {
	// Before all else: either may come at any time. Each has its own, so that none is lost behind others.
	ends, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)
	env := platform.Environment{Name: o.Name, Listen: o.Listen, File: o.Config}
	told, err := platform.LoadConfigAtStart(env)
	if err != nil {
		return program.UsageError{Err: err}
	}
	// The scheduler needs no more threads than it has cores, and the collector a bound below that at which the platform
	// kills: a part stays for stacks, the program itself and what the kernel holds.
	runtime.GOMAXPROCS(max(1, int(told.Cores)))
	if told.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(told.MemoryMB) << 20 * 6 / 10)
	}
	log := program.NewLogger(os.Stderr, "hollymast", o.Log)
	p, err := platform.New(told, log)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		<-ends
		stop() // a second one changes nothing: what is in hand is still owed its answer
	}()
	go p.ReloadOn(context.Background(), reloads, env) // to the end: a stopping router still follows the notice board
	log.Info().Str("listen", p.Address()).Str("name", told.Name).Str("board", told.DiscoveryAddress).Float64("cores", told.Cores).
		Int("memory_mb", told.MemoryMB).Int("sockets", told.Sockets).Msg("serving")
	p.Serve(ctx)
	return nil
}
