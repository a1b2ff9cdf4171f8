// Command hmcall makes calls to routers as the client library does: one, or a file of them.
package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"
	"time"

	"hollymast/client"
	"hollymast/internal/program"
)

// cli holds the flags; their names come from the fields.
type cli struct {
	program.CommonFlags
	Router      []string      `required:"" help:"Routers, HOST:PORT; calls go round among them."`
	Model       string        `help:"Model of a single call."`
	Body        string        `help:"File with its KServe v2 request; - reads standard input; without, an empty one."`
	Calls       string        `help:"File of calls, one JSON object a line: model, request, effect, mark, tenant, timeout (ms); - reads standard input."`
	Effect      string        `enum:"run-once,restartable,fingerprinted" default:"run-once" help:"What a second execution would do."`
	Window      time.Duration `help:"For which a fingerprinted job is known to its group."`
	Narrow      bool          `help:"A fingerprinted job's group is a part of the servers."`
	Remembered  bool          `help:"The routers have a memory: a run-once job may be asked for again where it was asked."`
	Hedge       bool          `help:"Two executions at once do no harm."`
	Mark        string        `help:"Names the effect; without, one is made."`
	Tenant      string        `help:"Tenant."`
	Timeout     time.Duration `default:"10s" help:"Of a call, all its tries together."`
	Concurrency int           `default:"8" help:"Calls of a file at once."`
	Pretty      bool          `help:"Indent the result."`
}

func main() {
	var c cli
	ctx := program.Parse(&c, "hmcall", `Calls hollymast routers.

Examples:

  hmcall --router 127.0.0.1:8080 --model forecast-1

  hmcall --router 127.0.0.1:8080,127.0.0.1:8090 --calls calls.jsonl --effect restartable

Prints one JSON object a call; exits with 1 where one was not finished.`)
	program.Exit("hmcall", ctx.Run(&c))
}

// Run makes the calls.
func (c *cli) Run() error {
	if (c.Model == "") == (c.Calls == "") {
		return program.UsageError{Err: errors.New("either --model or --calls says what to call")}
	}
	if c.Timeout <= 0 || c.Concurrency < 1 {
		return program.UsageError{Err: errors.New("a timeout or a concurrency below one")}
	}
	library, err := client.New(client.Options{Routers: c.Router, Connections: c.Concurrency + 1})
	if err != nil {
		return program.UsageError{Err: err}
	}
	defer library.Close()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if c.Model != "" {
		return c.runOne(ctx, library)
	}
	return c.runFile(ctx, library)
}
