// Command hmcall makes calls to routers with the client library: a single call, or all calls of a file.
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

// cli holds the flags, which are named after the fields.
type cli struct {
	program.CommonFlags
	Router      []string      `required:"" help:"Routers, HOST:PORT; calls are distributed among them in turn."`
	Model       string        `help:"Model of a single call."`
	Body        string        `help:"File with the KServe v2 request of the single call; - reads standard input. Default: an empty request."`
	Calls       string        `help:"File of calls, one JSON object per line: model, request, effect, mark, tenant, timeout (ms); - reads standard input."`
	Effect      string        `enum:"run-once,restartable,fingerprinted" default:"run-once" help:"Whether a request may run twice: never (run-once), always (restartable), or while servers recognize its idempotency key (fingerprinted)."`
	Window      time.Duration `help:"How long servers recognize the idempotency key of a fingerprinted request."`
	Narrow      bool          `help:"Only a part of the servers (a zone or a cell) recognizes the key of a fingerprinted request."`
	Remembered  bool          `help:"Routers recognize idempotency keys across restarts: a run-once request may be sent again to the router that had it."`
	Hedge       bool          `help:"Two concurrent attempts do no harm: send a second one if the first is slow."`
	Mark        string        `help:"Idempotency key. Default: a generated one."`
	Tenant      string        `help:"Tenant."`
	Timeout     time.Duration `default:"10s" help:"Timeout of a call, for all its attempts together."`
	Concurrency int           `default:"8" help:"Number of concurrent calls of a file."`
	Pretty      bool          `help:"Indent the result."`
}

func main() {
	var c cli
	ctx := program.Parse(&c, "hmcall", `Calls hollymast routers.

Examples:

  hmcall --router 127.0.0.1:8080 --model forecast-1

  hmcall --router 127.0.0.1:8080,127.0.0.1:8090 --calls calls.jsonl --effect restartable

Prints one JSON object per call; exits with status 1 if a call failed.`)
	program.Exit("hmcall", ctx.Run(&c))
}

// Run makes the calls.
func (c *cli) Run() error {
	if (c.Model == "") == (c.Calls == "") {
		return program.UsageError{Err: errors.New("specify either --model or --calls")}
	}
	if c.Timeout <= 0 || c.Concurrency < 1 {
		return program.UsageError{Err: errors.New("the timeout must be positive and the concurrency at least 1")}
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
