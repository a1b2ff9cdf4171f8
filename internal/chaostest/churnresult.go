package chaostest

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"hollymast/internal/invariant"
)

// ChurnResult is how soon a router followed changes that took servers away.
type ChurnResult struct {
	*invariant.Report
	RemovedServers        int           // changes that took a server away
	LateServers           int           // those after which something new still reached the server
	MedianDelay, MaxDelay time.Duration // of these: from the change to the last new thing; 0 if there are none
	SuccessRate           float64       // share of requests
	Streams               int           // that the router has opened to the control plane
	CertificateChanges    int
	BrokenConnections     int // client connections that ended without an answer, timeouts aside
}

func (h *harness) churnResult() *ChurnResult {
	records := h.log.Records()
	r := &ChurnResult{Report: invariant.Check(h.invariantConfig(), records), BrokenConnections: h.brokenConnections}
	_, r.Streams, _ = h.controlPlane.Counts()
	if h.certificates != nil {
		r.CertificateChanges = h.certificates.changes
	}
	r.SuccessRate = share(r.Succeeded, r.Requests)
	r.measureDelays(records)
	return r
}

// removal is a server that was taken away.
type removal struct {
	at      int64 // microseconds of the log's clock
	lastNew int64 // when the last new thing reached it since; 0: nothing did
}

// measureDelays works out how late the last new thing reached each server that was taken away.
func (r *ChurnResult) measureDelays(records []invariant.Record) {
	removed := map[int]*removal{} // servers that are away
	var delays []int64
	end := func(server int) {
		if m := removed[server]; m != nil && m.lastNew > m.at {
			delays = append(delays, m.lastNew-m.at)
		}
		delete(removed, server)
	}
	for _, record := range records {
		m := removed[record.Server]
		switch record.Kind {
		case invariant.EndpointPublished:
			if record.Detail == invariant.EndpointReady {
				end(record.Server)
			} else if m == nil {
				removed[record.Server] = &removal{at: record.At}
				r.RemovedServers++
			}
		case invariant.AttemptReceived, invariant.LoadCommandReceived:
			if m != nil {
				m.lastNew = record.At
			}
		}
	}
	for server := range removed {
		end(server)
	}
	if r.LateServers = len(delays); r.LateServers == 0 {
		return
	}
	slices.Sort(delays)
	r.MedianDelay = time.Duration(delays[r.LateServers/2]) * time.Microsecond
	r.MaxDelay = time.Duration(delays[r.LateServers-1]) * time.Microsecond
}

// String gives the result in one line.
func (r *ChurnResult) String() string {
	var violations []string
	for _, rule := range r.Rules {
		if rule.ViolationCount > 0 {
			violations = append(violations, fmt.Sprintf("rule %d broken %d times (%s)", rule.Number, rule.ViolationCount, rule.Violations[0]))
		}
	}
	verdict := "kept"
	if len(violations) > 0 {
		verdict = strings.Join(violations, "; ")
	}
	if r.CertificateChanges > 0 {
		verdict = fmt.Sprintf("%d changes of keys; %s", r.CertificateChanges, verdict)
	}
	return fmt.Sprintf("%d servers taken away, %d got something new after it: median %s, worst %s; %d jobs, %.3f finished, %d unanswered, %d client connections broken, %d streams; %s",
		r.RemovedServers, r.LateServers, r.MedianDelay, r.MaxDelay, r.Requests, r.SuccessRate, r.Unanswered, r.BrokenConnections, r.Streams, verdict)
}
