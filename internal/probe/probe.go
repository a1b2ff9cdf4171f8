// Package probe asks servers what a router would ask, and reads their answers with the router's own code.
package probe

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"hollymast/control"
	"hollymast/internal/gateway"
	"hollymast/internal/rest"
	"hollymast/kserve"
)

// Finding is what one server answered. Its JSON form is an output of hmprobe: its names stay.
type Finding struct {
	Address  string              `json:"Address"`
	Ready    bool                `json:"Ready"`
	Problem  string              `json:"Says,omitempty"` // why it is not ready, or what is unusual
	Duration control.Micros      `json:"Took"`           // of the readiness call, with the dial
	Load     *control.LoadReport `json:"Load,omitempty"` // the last that it reported
	Models   []kserve.Standing   `json:"Stands"`
	Run      *Run                `json:"Run,omitempty"`
}

// Run is the outcome of a request that the probe was asked to make.
type Run struct {
	Status      int                 `json:"Status"`
	Result      string              `json:"Result"` // as the balancer would get it
	CacheStatus control.CacheStatus `json:"Found"`
	MayHaveRun  bool                `json:"MayRun"` // as the balancer would have to assume
	Duration    control.Micros      `json:"Took"`
	Message     string              `json:"Message,omitempty"` // the error, where there was no answer
}

// Options say what to ask a server.
type Options struct {
	Timeout time.Duration // of each call
	Model   string        // makes one request to it; empty: none is made
	Body    []byte        // of that request
}

// Server probes one server. It runs nothing unless a model is named.
func Server(ctx context.Context, address string, options Options) Finding {
	started := time.Now()
	dialCtx, cancel := context.WithTimeout(ctx, options.Timeout)
	defer cancel()
	conn, err := rest.Dial(dialCtx, address, &rest.DefaultLimits)
	if err != nil {
		return Finding{Address: address, Problem: "no connection: " + err.Error()}
	}
	p := &prober{address: address, options: options, conn: conn, finding: Finding{Address: address}}
	defer func() { p.conn.Close() }()
	p.askReady(ctx)
	p.finding.Duration = since(started)
	p.askIndex(ctx)
	if options.Model != "" {
		p.finding.Run = p.infer()
	}
	return p.finding
}

// prober probes one server over one connection, or a new one after an exchange that broke.
type prober struct {
	address string
	options Options
	conn    *rest.Client
	finding Finding
}

func (p *prober) askReady(ctx context.Context) {
	response := p.call(ctx, kserve.ServerReady, http.MethodGet)
	if response == nil {
		return
	}
	p.finding.Ready = response.Status == http.StatusOK
	if !p.finding.Ready {
		p.finding.Problem = fmt.Sprintf("status %d", response.Status)
	}
}

func (p *prober) askIndex(ctx context.Context) {
	response := p.call(ctx, kserve.RepositoryIndex, http.MethodPost)
	if response == nil || response.Status != http.StatusOK {
		return
	}
	var err error
	if p.finding.Models, err = kserve.ReadIndex(response.Body); err != nil {
		p.finding.Problem = "its index can't be read: " + err.Error()
	}
}

// call makes a call without a body and takes the load report from its response; nil: there was none.
func (p *prober) call(ctx context.Context, kind kserve.Kind, method string) *rest.Response {
	response, progress, err := p.exchange(&rest.Request{Method: method, Target: kserve.Call{Kind: kind}.Target(), Header: rest.Header{"Host": {p.address}}})
	if err != nil {
		problem := gateway.ResultName(gateway.BrokenExchangeResult(progress, err)) + ": " + err.Error()
		p.finding.Problem = strings.TrimPrefix(p.finding.Problem+"; ", "; ") + problem
		p.conn.Close()
		if conn, err := rest.Dial(ctx, p.address, &rest.DefaultLimits); err == nil {
			p.conn = conn
		}
		return nil
	}
	if outcome := gateway.OutcomeOf(response); outcome.Report != nil {
		p.finding.Load = outcome.Report
	}
	return response
}

func (p *prober) exchange(request *rest.Request) (*rest.Response, rest.Progress, error) {
	return p.conn.Do(request, time.Now().Add(p.options.Timeout))
}

// infer makes one inference request.
func (p *prober) infer() *Run {
	started := time.Now()
	response, progress, err := p.exchange(&rest.Request{Method: http.MethodPost, Target: kserve.Call{Kind: kserve.Infer, Model: p.options.Model}.Target(),
		Header: rest.Header{"Host": {p.address}, "Content-Type": {"application/json"}}, Body: p.options.Body})
	run := &Run{Duration: since(started)}
	var result control.Result
	if err != nil {
		result, run.Message = gateway.BrokenExchangeResult(progress, err), err.Error()
	} else {
		outcome := gateway.OutcomeOf(response)
		result, run.Status, run.CacheStatus = outcome.Result, response.Status, outcome.CacheStatus
	}
	run.Result, run.MayHaveRun = gateway.ResultName(result), !result.ProvesNotRun()
	return run
}

func since(start time.Time) control.Micros { return control.Micros(time.Since(start).Microseconds()) }
