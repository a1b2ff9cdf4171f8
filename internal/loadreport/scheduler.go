package loadreport

import (
	"hollymast/control"
)

// Bounds of the report interval: more frequent reports cost more than they are worth, and less frequent ones are useless.
const (
	minInterval = control.Micros(100_000)
	maxInterval = control.Micros(3600_000_000)
)

// Request is what a control plane wants to be reported.
type Request struct {
	AllClusters bool
	Clusters    map[string]bool
	Interval    control.Micros // 0: no reports
	PerEndpoint bool           // each endpoint separately, not only sums by locality
}

// Scheduler decides when reports are due and keeps unsent reports. One scheduler serves all streams, one after another.
type Scheduler struct {
	request    Request
	streamOpen bool
	nextAt     control.Micros
	unsent     Report
}

// StreamOpened records a new stream, on which nothing is requested yet.
func (s *Scheduler) StreamOpened() { s.streamOpen, s.request, s.nextAt = true, Request{}, 0 }

// SetRequest sets what is requested and clamps the interval to its bounds. The first report is due one interval later.
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
	if !s.streamOpen {
		return 0
	}
	return s.nextAt
}

// NextReport returns the report that is due: the collected statistics, merged with those that could not be sent before. Intervals that were
// missed, for example in a stall, are covered by this one report. It must only be called if an interval is requested.
func (s *Scheduler) NextReport(now control.Micros, collected Report) Report {
	for s.nextAt <= now {
		s.nextAt += max(s.request.Interval, (now-s.nextAt)/s.request.Interval*s.request.Interval)
	}
	s.unsent = Merge(s.unsent, collected)
	return s.unsent
}

// ReportSent records that the last report was sent.
func (s *Scheduler) ReportSent() { s.unsent = Report{} }

// StreamClosed records the end of a stream. Unsent statistics are sent on the next stream.
func (s *Scheduler) StreamClosed() { s.streamOpen = false }
