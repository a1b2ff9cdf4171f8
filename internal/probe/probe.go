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

// ServerReport is what one server answered. Its JSON form is an output of hmprobe: its names stay.
type ServerReport struct {
	Address  string              `json:"Address"`
	Ready    bool                `json:"Ready"`
	Problem  string              `json:"Says,omitempty"` // why it is not ready, or what is unusual
	Duration control.Micros      `json:"Took"`           // of the readiness call, with the dial
	Load     *control.LoadReport `json:"Load,omitempty"` // the last that it reported
	Models   []kserve.IndexEntry `json:"Stands"`
	Request  *RequestReport      `json:"Run,omitempty"`
}

// RequestReport is the outcome of a request that the probe was asked to make.
type RequestReport struct {
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

// CheckServer probes one server. It runs nothing unless a model is named.
func CheckServer(ctx context.Context, address string, options Options) ServerReport {
	started := time.Now()
	dialCtx, cancel := context.WithTimeout(ctx, options.Timeout)
	defer cancel()
	conn, err := rest.Dial(dialCtx, address, &rest.DefaultLimits)
	if err != nil {
		return ServerReport{Address: address, Problem: "no connection: " + err.Error()}
	}
	p := &prober{address: address, options: options, conn: conn, finding: ServerReport{Address: address}}
	defer func() { p.conn.Close() }()
	p.askReady(ctx)
	p.finding.Duration = since(started)
	p.askIndex(ctx)
	if options.Model != "" {
		p.finding.Request = p.infer()
	}
	return p.finding
}

// prober probes one server over one connection, or a new one after an exchange that broke.
type prober struct {
	address string
	options Options
	conn    *rest.Client
	finding ServerReport
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
	if p.finding.Models, err = kserve.ParseIndex(response.Body); err != nil {
		p.finding.Problem = "its index can't be read: " + err.Error()
	}
}

// call makes a call without a body and takes the load report from its response; nil: there was none.
func (p *prober) call(ctx context.Context, kind kserve.Operation, method string) *rest.Response {
	response, progress, err := p.exchange(&rest.Request{Method: method, Target: kserve.Call{Operation: kind}.Target(), Header: rest.Header{"Host": {p.address}}})
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
func (p *prober) infer() *RequestReport {
	started := time.Now()
	response, progress, err := p.exchange(&rest.Request{Method: http.MethodPost, Target: kserve.Call{Operation: kserve.Infer, Model: p.options.Model}.Target(),
		Header: rest.Header{"Host": {p.address}, "Content-Type": {"application/json"}}, Body: p.options.Body})
	run := &RequestReport{Duration: since(started)}
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
