package loadreport

import (
	"hollymast/control"
)

// Bounds of the time between two reports that a control plane may ask for: under the least reports would cost more than they tell,
// over the most they are as good as none.
const (
	minInterval = control.Micros(100_000)
	maxInterval = control.Micros(3600_000_000)
)

// Asked is what a control plane wants to be told, and how often.
type Request struct {
	AllClusters bool
	Clusters    map[string]bool
	Interval    control.Micros // 0: nothing
	PerEndpoint bool           // each by itself, not only sums
}

// Pace decides when reports are due, on one stream after another.
type Scheduler struct {
	request Request
	open    bool
	nextAt  control.Micros
	unsent  Report
}

// Connected begins a stream, on which nothing is asked yet.
func (p *Scheduler) StreamOpened() { p.open, p.request, p.nextAt = true, Request{}, 0 }

// Ask takes in what is wanted; times out of bounds are brought within. The first report is due a whole time later.
func (p *Scheduler) SetRequest(now control.Micros, a Request) {
	if a.Interval > 0 {
		a.Interval = min(max(a.Interval, minInterval), maxInterval)
	}
	if p.request = a; a.Interval == 0 {
		p.nextAt = 0
		return
	}
	p.nextAt = now + a.Interval
}

// Wants tells what is asked.
func (p *Scheduler) Request() Request { return p.request }

// Due tells when the next report is; 0: none is asked for.
func (p *Scheduler) NextAt() control.Micros {
	if !p.open {
		return 0
	}
	return p.nextAt
}

// Next gives the report that is due, with what was never sent before. After a stall reports are not made up for: one covers all.
func (p *Scheduler) NextReport(now control.Micros, fresh Report) Report {
	for p.nextAt <= now {
		p.nextAt += max(p.request.Interval, (now-p.nextAt)/p.request.Interval*p.request.Interval)
	}
	p.unsent = Merge(p.unsent, fresh)
	return p.unsent
}

// Sent tells that it went out.
func (p *Scheduler) ReportSent() { p.unsent = Report{} }

// Broken ends a stream. What was not sent waits for the next.
func (p *Scheduler) StreamClosed() { p.open = false }
