package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"hollymast/client"
	"hollymast/internal/program"
)

// result is what is printed of a call. Scripts read it: its names stay.
type result struct {
	Line    int             `json:"line,omitempty"`
	Model   string          `json:"model"`
	Outcome string          `json:"outcome"` // finished, or a client.Kind
	Status  int             `json:"status,omitempty"`
	Tries   int             `json:"tries"`
	Router  string          `json:"router,omitempty"`
	Took    int64           `json:"took_us"`
	Why     string          `json:"why,omitempty"`
	After   int64           `json:"retry_after_us,omitempty"`
	Answer  json.RawMessage `json:"answer,omitempty"`
}

// finished is the outcome of a call that was answered.
const finished = "finished"

// runOne makes the call that the flags describe.
func (c *cli) runOne(ctx context.Context, library *client.Client) error {
	body := emptyRequest
	if c.Body != "" {
		var err error
		if body, err = readInput(c.Body); err != nil {
			return program.UsageError{Err: err}
		}
	}
	r := c.infer(ctx, library, call{Model: c.Model, Request: body, Mark: c.Mark, Tenant: c.Tenant})
	c.print(os.Stdout, r)
	if r.Outcome != finished {
		return errors.New(r.Outcome + ": " + r.Why)
	}
	return nil
}

// runFile makes the calls of a file, and prints their results in the order in which they end.
func (c *cli) runFile(ctx context.Context, library *client.Client) error {
	calls, err := readCalls(c.Calls)
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex // for standard output and failed
	failed := 0
	inFlight := make(chan struct{}, c.Concurrency)
	for i, x := range calls {
		if x.Model == "" || ctx.Err() != nil {
			continue
		}
		inFlight <- struct{}{}
		wg.Go(func() {
			defer func() { <-inFlight }()
			if x.Request == nil {
				x.Request = emptyRequest
			}
			r := c.infer(ctx, library, x)
			r.Line = i + 1
			mu.Lock()
			defer mu.Unlock()
			if c.print(os.Stdout, r); r.Outcome != finished {
				failed++
			}
		})
	}
	wg.Wait()
	if failed > 0 {
		return fmt.Errorf("%d of %d calls were not finished", failed, len(calls))
	}
	return ctx.Err()
}

// infer makes a call.
func (c *cli) infer(ctx context.Context, library *client.Client, x call) result {
	effect, timeout := c.Effect, c.Timeout
	if x.Effect != "" {
		effect = x.Effect
	}
	if x.Timeout > 0 {
		timeout = time.Duration(x.Timeout) * time.Millisecond
	}
	if x.Tenant == "" {
		x.Tenant = c.Tenant
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	begun := time.Now()
	answer, err := library.Infer(ctx, client.Call{Model: x.Model, Body: x.Request, IdempotencyKey: x.Mark, Tenant: x.Tenant, Workload: client.Workload{
		Effect: effects[effect], PartialKeyScope: c.Narrow, KeyWindow: c.Window, KeysPersisted: c.Remembered, Hedge: c.Hedge}})
	r := result{Model: x.Model, Outcome: finished, Status: answer.Status, Tries: answer.Attempts, Router: answer.Router,
		Took: time.Since(begun).Microseconds(), Answer: answer.Body}
	var failed *client.CallError
	if errors.As(err, &failed) {
		r.Outcome, r.Status, r.Tries = string(failed.Kind), failed.Status, failed.Attempts
		r.Why, r.After = failed.Reason, failed.RetryAfter.Microseconds()
	}
	if !json.Valid(r.Answer) { // binary tensors
		r.Answer = nil
	}
	return r
}

func (c *cli) print(w io.Writer, r result) {
	encoder := json.NewEncoder(w)
	if c.Pretty {
		encoder.SetIndent("", "  ")
	}
	encoder.Encode(r)
}
