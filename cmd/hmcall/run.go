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

// result is the output for one call. Scripts read it, so its JSON names must not change.
type result struct {
	Line           int             `json:"line,omitempty"`
	Model          string          `json:"model"`
	Outcome        string          `json:"outcome"` // finished, or a client.FailureKind
	Status         int             `json:"status,omitempty"`
	Attempts       int             `json:"tries"`
	Router         string          `json:"router,omitempty"`
	DurationMicros int64           `json:"took_us"`
	Reason         string          `json:"why,omitempty"`
	RetryAfter     int64           `json:"retry_after_us,omitempty"`
	Answer         json.RawMessage `json:"answer,omitempty"`
}

// finished is the outcome of a successful call.
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
	r := c.infer(ctx, library, call{Model: c.Model, Request: body, IdempotencyKey: c.Mark, Tenant: c.Tenant})
	c.print(os.Stdout, r)
	if r.Outcome != finished {
		return errors.New(r.Outcome + ": " + r.Reason)
	}
	return nil
}

// runFile makes the calls of a file and prints their results in the order in which they end.
func (c *cli) runFile(ctx context.Context, library *client.Client) error {
	calls, err := readCalls(c.Calls)
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex // guards standard output and failed
	failed := 0
	inFlight := make(chan struct{}, c.Concurrency)
	for i, input := range calls {
		if input.Model == "" || ctx.Err() != nil {
			continue
		}
		inFlight <- struct{}{}
		wg.Go(func() {
			defer func() { <-inFlight }()
			if input.Request == nil {
				input.Request = emptyRequest
			}
			r := c.infer(ctx, library, input)
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
		return fmt.Errorf("%d of %d calls failed", failed, len(calls))
	}
	return ctx.Err()
}

// infer makes a call. An empty effect, tenant or timeout of the input takes the value of its flag.
func (c *cli) infer(ctx context.Context, library *client.Client, input call) result {
	effect, timeout := c.Effect, c.Timeout
	if input.Effect != "" {
		effect = input.Effect
	}
	if input.Timeout > 0 {
		timeout = time.Duration(input.Timeout) * time.Millisecond
	}
	if input.Tenant == "" {
		input.Tenant = c.Tenant
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	startedAt := time.Now()
	response, err := library.Infer(ctx, client.Call{Model: input.Model, Body: input.Request, IdempotencyKey: input.IdempotencyKey, Tenant: input.Tenant, Workload: client.Workload{
		Effect: effects[effect], PartialKeyScope: c.Narrow, KeyWindow: c.Window, KeysPersisted: c.Remembered, Hedge: c.Hedge}})
	r := result{Model: input.Model, Outcome: finished, Status: response.Status, Attempts: response.Attempts, Router: response.Router,
		DurationMicros: time.Since(startedAt).Microseconds(), Answer: response.Body}
	var callErr *client.CallError
	if errors.As(err, &callErr) {
		r.Outcome, r.Status, r.Attempts = string(callErr.Kind), callErr.Status, callErr.Attempts
		r.Reason, r.RetryAfter = callErr.Reason, callErr.RetryAfter.Microseconds()
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
