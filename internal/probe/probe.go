// Package probe sends servers the requests that a router sends, and interprets the responses with the router's own code.
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

// ServerReport is the result of probing one server. Its JSON encoding is printed by hmprobe, so the JSON names must not
// change.
type ServerReport struct {
	Address  string              `json:"Address"`
	Ready    bool                `json:"Ready"`
	Problem  string              `json:"Says,omitempty"` // why the server is not ready, or what is unusual
	Duration control.Micros      `json:"Took"`           // of the dial and the readiness call
	Load     *control.LoadReport `json:"Load,omitempty"` // the last load report received
	Models   []kserve.IndexEntry `json:"Stands"`
	Request  *RequestReport      `json:"Run,omitempty"`
}

// RequestReport is the outcome of an inference request made by the probe.
type RequestReport struct {
	Status      int                 `json:"Status"`
	Result      string              `json:"Result"` // the result that a router would pass to its balancer
	CacheStatus control.CacheStatus `json:"Found"`
	MayHaveRun  bool                `json:"MayRun"` // whether the balancer would have to assume that the request ran
	Duration    control.Micros      `json:"Took"`
	Message     string              `json:"Message,omitempty"` // the error, if there was no response
}

// Options configure a probe.
type Options struct {
	Timeout time.Duration // of each call
	Model   string        // model to send one inference request to; empty: none is sent
	Body    []byte        // body of that request
}

// CheckServer probes one server. It runs nothing there unless options name a model.
func CheckServer(ctx context.Context, address string, options Options) ServerReport {
	started := time.Now()
	dialCtx, cancel := context.WithTimeout(ctx, options.Timeout)
	defer cancel()
	conn, err := rest.Dial(dialCtx, address, &rest.DefaultLimits)
	if err != nil {
		return ServerReport{Address: address, Problem: "no connection: " + err.Error()}
	}
	p := &prober{address: address, options: options, conn: conn, report: ServerReport{Address: address}}
	defer func() { p.conn.Close() }()
	p.checkReadiness(ctx)
	p.report.Duration = microsSince(started)
	p.fetchIndex(ctx)
	if options.Model != "" {
		p.report.Request = p.infer()
	}
	return p.report
}

// prober probes one server over a connection, which is replaced after a broken exchange.
type prober struct {
	address string
	options Options
	conn    *rest.Client
	report  ServerReport
}

func (p *prober) checkReadiness(ctx context.Context) {
	response := p.call(ctx, kserve.ServerReady, http.MethodGet)
	if response == nil {
		return
	}
	p.report.Ready = response.Status == http.StatusOK
	if !p.report.Ready {
		p.report.Problem = fmt.Sprintf("status %d", response.Status)
	}
}

func (p *prober) fetchIndex(ctx context.Context) {
	response := p.call(ctx, kserve.RepositoryIndex, http.MethodPost)
	if response == nil || response.Status != http.StatusOK {
		return
	}
	var err error
	if p.report.Models, err = kserve.ParseIndex(response.Body); err != nil {
		p.report.Problem = "its index can't be read: " + err.Error()
	}
}

// call makes a call without a body and stores the load report of its response. It returns nil if there was no response.
func (p *prober) call(ctx context.Context, operation kserve.Operation, method string) *rest.Response {
	response, progress, err := p.exchange(&rest.Request{Method: method, Target: kserve.Call{Operation: operation}.Target(), Header: rest.Header{"Host": {p.address}}})
	if err != nil {
		problem := gateway.ResultName(gateway.BrokenExchangeResult(progress, err)) + ": " + err.Error()
		p.report.Problem = strings.TrimPrefix(p.report.Problem+"; ", "; ") + problem
		p.conn.Close()
		if conn, err := rest.Dial(ctx, p.address, &rest.DefaultLimits); err == nil {
			p.conn = conn
		}
		return nil
	}
	if outcome := gateway.OutcomeOf(response); outcome.Report != nil {
		p.report.Load = outcome.Report
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
	report := &RequestReport{Duration: microsSince(started)}
	var result control.Result
	if err != nil {
		result, report.Message = gateway.BrokenExchangeResult(progress, err), err.Error()
	} else {
		outcome := gateway.OutcomeOf(response)
		result, report.Status, report.CacheStatus = outcome.Result, response.Status, outcome.CacheStatus
	}
	report.Result, report.MayHaveRun = gateway.ResultName(result), !result.ProvesNotRun()
	return report
}

func microsSince(start time.Time) control.Micros {
	return control.Micros(time.Since(start).Microseconds())
}
