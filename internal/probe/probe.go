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
	begun := time.Now()
	dialling, cancel := context.WithTimeout(ctx, ask.Timeout)
	defer cancel()
	c, err := rest.Dial(dialling, address, &rest.DefaultLimits)
	if err != nil {
		f.Problem = "no connection: " + err.Error()
		return f
	}
	defer func() { c.Close() }()
	call := func(kind kserve.Kind, method string) *rest.Response {
		p, progress, err := c.Do(&rest.Request{Method: method, Target: kserve.Call{Kind: kind}.Target(), Header: rest.Header{"Host": {address}}},
			time.Now().Add(ask.Timeout))
		if err != nil {
			f.Problem = strings.TrimPrefix(f.Problem+"; ", "; ") + gateway.ResultName(gateway.BrokenExchangeResult(progress, err)) + ": " + err.Error()
			c.Close()
			if c2, err := rest.Dial(ctx, address, &rest.DefaultLimits); err == nil {
				c = c2
			}
			return nil
		}
		if o := gateway.OutcomeOf(p); o.Report != nil {
			f.Load = o.Report
		}
		return p
	}
	if p := call(kserve.ServerReady, "GET"); p != nil {
		f.Ready = p.Status == 200
		if !f.Ready {
			f.Problem = fmt.Sprintf("status %d", p.Status)
		}
	}
	f.Duration = control.Micros(time.Since(begun).Microseconds())
	if p := call(kserve.RepositoryIndex, "POST"); p != nil && p.Status == 200 {
		if f.Models, err = kserve.ReadIndex(p.Body); err != nil {
			f.Problem = "its index can't be read: " + err.Error()
		}
	}
	if ask.Model != "" {
		f.Run = run(c, address, ask)
	}
	return f
}

// run runs one job.
func run(c *rest.Client, address string, ask Options) *Run {
	begun := time.Now()
	p, progress, err := c.Do(&rest.Request{Method: "POST", Target: kserve.Call{Kind: kserve.Infer, Model: ask.Model}.Target(),
		Header: rest.Header{"Host": {address}, "Content-Type": {"application/json"}}, Body: ask.Body}, time.Now().Add(ask.Timeout))
	r := &Run{Duration: control.Micros(time.Since(begun).Microseconds())}
	var result control.Result
	if err != nil {
		result, r.Message = gateway.BrokenExchangeResult(progress, err), err.Error()
	} else {
		o := gateway.OutcomeOf(p)
		result, r.Status, r.CacheStatus = o.Result, p.Status, o.CacheStatus
	}
	r.Result, r.MayHaveRun = gateway.ResultName(result), !result.ProvesNotRun()
	return r
}

// Text tells a finding in plain words.
func (f Finding) Text() string {
	var b strings.Builder
	word := "not ready"
	if f.Ready {
		word = "ready"
	}
	fmt.Fprintf(&b, "%s: %s after %d us", f.Address, word, f.Duration)
	if f.Problem != "" {
		fmt.Fprintf(&b, " (%s)", f.Problem)
	}
	if l := f.Load; l != nil {
		fmt.Fprintf(&b, "; %.2f of its cores in use, %g loads, %.2f pinned", l.Utilization, l.PendingLoads, l.PinnedMemory)
	}
	b.WriteString("\n")
	for _, s := range f.Models {
		fmt.Fprintf(&b, "  %s %s\n", s.Name, strings.ToLower(s.State))
	}
	if r := f.Run; r != nil {
		word := "it did not run"
		if r.MayHaveRun {
			word = "it may have run"
		}
		fmt.Fprintf(&b, "  job: status %d after %d us; a router takes this as %s: %s", r.Status, r.Duration, r.Result, word)
		if r.Message != "" {
			fmt.Fprintf(&b, " (%s)", r.Message)
		}
		b.WriteString("\n")
	}
	return b.String()
}
