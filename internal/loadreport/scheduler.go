package loadreport

import (
	"hollymast/control"
)

// Bounds of the interval that a control plane may request: more frequent reports cost more than they tell, rarer ones are as good as
// none.
const (
	minInterval = control.Micros(100_000)
	maxInterval = control.Micros(3600_000_000)
)

// Request is what a control plane wants reported.
type Request struct {
	AllClusters bool
	Clusters    map[string]bool
	Interval    control.Micros // 0: no reports
	PerEndpoint bool           // each endpoint, not only sums
}

// Scheduler decides when reports are due, on one stream after another.
type Scheduler struct {
	request Request
	open    bool
	nextAt  control.Micros
	unsent  Report
}

// StreamOpened begins a stream, on which nothing is requested yet.
func (s *Scheduler) StreamOpened() { s.open, s.request, s.nextAt = true, Request{}, 0 }

// SetRequest takes in what is requested, with the interval brought within bounds. The first report is due a whole interval later.
func (s *Scheduler) SetRequest(now control.Micros, r Request) {
	if r.Interval > 0 {
		r.Interval = min(max(r.Interval, minInterval), maxInterval)
	}
	s.request, s.nextAt = r, 0
	if r.Interval != 0 {
		s.nextAt = now + r.Interval
	}
}

// Request returns what is requested.
func (s *Scheduler) Request() Request { return s.request }

// NextAt returns when the next report is due; 0: none is requested.
func (s *Scheduler) NextAt() control.Micros {
	if !s.open {
		return 0
	}
	return s.nextAt
}

// NextReport returns the report that is due: what was collected now and what was never sent before. Intervals that were missed, as in a
// stall, are not made up for: one report covers them. An interval must be requested.
func (s *Scheduler) NextReport(now control.Micros, collected Report) Report {
	for s.nextAt <= now {
		s.nextAt += max(s.request.Interval, (now-s.nextAt)/s.request.Interval*s.request.Interval)
	}
	s.unsent = Merge(s.unsent, collected)
	return s.unsent
}

// ReportSent says that the last report was sent.
func (s *Scheduler) ReportSent() { s.unsent = Report{} }

// StreamClosed ends a stream. What was not sent is sent on the next.
func (s *Scheduler) StreamClosed() { s.open = false }
