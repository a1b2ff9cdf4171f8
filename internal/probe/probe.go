// Package probe asks servers what a router would ask, and reads their answers with the router's own code.
package probe

import (
	"context"
	"fmt"
	"strings"
	"time"

	"hollymast/control"
	"hollymast/internal/gateway"
	"hollymast/internal/rest"
	"hollymast/kserve"
)

// Finding is what one server answered.
type Finding struct {
	Address  string              `json:"Address"`
	Ready    bool                `json:"Ready"`
	Problem  string              `json:"Says,omitempty"` // why not, or what is odd
	Duration control.Micros      `json:"Took"`           // of the readiness call, connecting included
	Load     *control.LoadReport `json:"Load,omitempty"`
	Models   []kserve.Standing   `json:"Stands"`
	Run      *Run                `json:"Run,omitempty"`
}

// Run is what became of a job that the probe was told to run.
type Run struct {
	Status      int                 `json:"Status"`
	Result      string              `json:"Result"` // as the module would be told
	CacheStatus control.CacheStatus `json:"Found"`
	MayHaveRun  bool                `json:"MayRun"` // whether the module would have to take it as run
	Duration    control.Micros      `json:"Took"`
	Message     string              `json:"Message,omitempty"`
}

// Ask is what to ask a server.
type Options struct {
	Timeout time.Duration // for each call
	Model   string        // runs one job of it; empty: nothing is run
	Body    []byte
}

// Server probes one server. It runs nothing unless a model is named.
func Server(ctx context.Context, address string, ask Options) Finding {
	f := Finding{Address: address}
	started := time.Now()
	dialCtx, cancel := context.WithTimeout(ctx, ask.Timeout)
	defer cancel()
	conn, err := rest.Dial(dialCtx, address, &rest.DefaultLimits)
	if err != nil {
		f.Problem = "no connection: " + err.Error()
		return f
	}
	defer func() { conn.Close() }()
	call := func(kind kserve.Kind, method string) *rest.Response {
		response, progress, err := conn.Do(&rest.Request{Method: method, Target: kserve.Call{Kind: kind}.Target(), Header: rest.Header{"Host": {address}}},
			time.Now().Add(ask.Timeout))
		if err != nil {
			f.Problem = strings.TrimPrefix(f.Problem+"; ", "; ") + gateway.ResultName(gateway.BrokenExchangeResult(progress, err)) + ": " + err.Error()
			conn.Close()
			if c2, err := rest.Dial(ctx, address, &rest.DefaultLimits); err == nil {
				conn = c2
			}
			return nil
		}
		if o := gateway.OutcomeOf(response); o.Report != nil {
			f.Load = o.Report
		}
		return response
	}
	if response := call(kserve.ServerReady, "GET"); response != nil {
		f.Ready = response.Status == 200
		if !f.Ready {
			f.Problem = fmt.Sprintf("status %d", response.Status)
		}
	}
	f.Duration = control.Micros(time.Since(started).Microseconds())
	if response := call(kserve.RepositoryIndex, "POST"); response != nil && response.Status == 200 {
		if f.Models, err = kserve.ReadIndex(response.Body); err != nil {
			f.Problem = "its index can't be read: " + err.Error()
		}
	}
	if ask.Model != "" {
		f.Run = runModel(conn, address, ask)
	}
	return f
}

// run runs one job.
func runModel(conn *rest.Client, address string, ask Options) *Run {
	started := time.Now()
	response, progress, err := conn.Do(&rest.Request{Method: "POST", Target: kserve.Call{Kind: kserve.Infer, Model: ask.Model}.Target(),
		Header: rest.Header{"Host": {address}, "Content-Type": {"application/json"}}, Body: ask.Body}, time.Now().Add(ask.Timeout))
	run := &Run{Duration: control.Micros(time.Since(started).Microseconds())}
	var result control.Result
	if err != nil {
		result, run.Message = gateway.BrokenExchangeResult(progress, err), err.Error()
	} else {
		o := gateway.OutcomeOf(response)
		result, run.Status, run.CacheStatus = o.Result, response.Status, o.CacheStatus
	}
	run.Result, run.MayHaveRun = gateway.ResultName(result), !result.ProvesNotRun()
	return run
}
