package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hollymast/client"
	"hollymast/internal/program"
	"io"
	"os"
	"sync"
	"time"
)

// call is a line of a file of calls.
type call struct {
	Model   string          `json:"model"`
	Request json.RawMessage `json:"request"`
	Effect  string          `json:"effect"`
	Mark    string          `json:"mark"`
	Tenant  string          `json:"tenant"`
	Timeout int64           `json:"timeout"`
}

// result is what is printed of a call.
type result struct {
	Line    int             `json:"line,omitempty"`
	Model   string          `json:"model"`
	Outcome string          `json:"outcome"`
	Status  int             `json:"status,omitempty"`
	Tries   int             `json:"tries"`
	Router  string          `json:"router,omitempty"`
	Took    int64           `json:"took_us"`
	Why     string          `json:"why,omitempty"`
	After   int64           `json:"retry_after_us,omitempty"`
	Answer  json.RawMessage `json:"answer,omitempty"`
}

// file makes the calls of a file, and prints their results in the order in which they end.
func (c *cli) runFile(ctx context.Context, library *client.Client) error {
	text, err := readInput(c.Calls)
	if err != nil {
		return program.UsageError{Err: err}
	}
	var calls []call
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, 64<<20)
	for n := 1; lines.Scan(); n++ {
		var x call
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			calls = append(calls, x)
			continue
		}
		d := json.NewDecoder(bytes.NewReader(lines.Bytes()))
		d.DisallowUnknownFields()
		if err := d.Decode(&x); err != nil {
			return program.UsageError{Err: fmt.Errorf("%s:%d: %w", c.Calls, n, err)}
		}
		if _, known := effects[x.Effect]; x.Model == "" || x.Effect != "" && !known || x.Timeout < 0 {
			return program.UsageError{Err: fmt.Errorf("%s:%d: a call needs a model, an effect that is known and no timeout below zero", c.Calls, n)}
		}
		calls = append(calls, x)
	}
	if err := lines.Err(); err != nil {
		return program.UsageError{Err: fmt.Errorf("%s: %w", c.Calls, err)}
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	bad := 0
	places := make(chan bool, c.Concurrency)
	for i, x := range calls {
		if x.Model == "" || ctx.Err() != nil {
			continue
		}
		places <- true
		wg.Go(func() {
			defer func() { <-places }()
			if x.Request == nil {
				x.Request = emptyRequest
			}
			r := c.infer(ctx, library, x)
			r.Line = i + 1
			mu.Lock()
			defer mu.Unlock()
			if c.print(os.Stdout, r); r.Outcome != "finished" {
				bad++
			}
		})
	}
	wg.Wait()
	if bad > 0 {
		return fmt.Errorf("%d of %d calls were not finished", bad, len(calls))
	}
	return ctx.Err()
}

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
	a, err := library.Infer(ctx, client.Call{Model: x.Model, Body: x.Request, Mark: x.Mark, Tenant: x.Tenant, Workload: client.Workload{Effect: effects[effect],
		Narrow: c.Narrow, Window: c.Window, Remembered: c.Remembered, Hedge: c.Hedge}})
	r := result{Model: x.Model, Outcome: "finished", Status: a.Status, Tries: a.Tries, Router: a.Router, Took: time.Since(begun).Microseconds(), Answer: a.Body}
	var failed *client.Failed
	if errors.As(err, &failed) {
		r.Outcome, r.Status, r.Tries, r.Why, r.After = string(failed.Kind), failed.Status, failed.Tries, failed.Why, failed.After.Microseconds()
	}
	if !json.Valid(r.Answer) {
		r.Answer = nil // tensors in binary
	}
	return r
}

func (c *cli) print(w io.Writer, r result) {
	e := json.NewEncoder(w)
	if c.Pretty {
		e.SetIndent("", "  ")
	}
	e.Encode(r)
}

func readInput(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

var effects = map[string]client.Effect{"run-once": client.RunOnce, "restartable": client.Restartable, "fingerprinted": client.Fingerprinted}

var emptyRequest = []byte(`{"inputs":[]}`)
