package chaostest

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"hollymast/internal/invariant"
)

// ChurnResult reports how soon a router stopped using servers that were removed from the endpoint list.
type ChurnResult struct {
	*invariant.Report
	RemovedServers        int           // changes that removed a server
	LateServers           int           // removals after which the server still received an attempt or a load command
	MedianDelay, MaxDelay time.Duration // from the removal to the last such attempt or load command; 0 if there are none
	SuccessRate           float64       // share of requests that succeeded
	Streams               int           // streams that the router has opened to the control plane
	CertificateChanges    int
	BrokenConnections     int // client connections that ended without an answer, except by a timeout
}

func (h *harness) churnResult() *ChurnResult {
	records := h.log.Records()
	r := &ChurnResult{Report: invariant.Check(h.invariantConfig(), records), BrokenConnections: h.brokenConnections}
	_, r.Streams, _ = h.controlPlane.Counts()
	if h.certificates != nil {
		r.CertificateChanges = h.certificates.changeCount
	}
	r.SuccessRate = share(r.Succeeded, r.Requests)
	r.measureDelays(records)
	return r
}

// removal is the removal of a server from the endpoint list.
type removal struct {
	at           int64 // in microseconds of the log's clock
	lastReceived int64 // when the server last received an attempt or a load command since; 0: never
}

// measureDelays computes, for each removal, the time until the server received its last attempt or load command.
func (r *ChurnResult) measureDelays(records []invariant.Record) {
	removed := map[int]*removal{} // servers that are removed at present
	var delays []int64
	endRemoval := func(server int) {
		if m := removed[server]; m != nil && m.lastReceived > m.at {
			delays = append(delays, m.lastReceived-m.at)
		}
		delete(removed, server)
	}
	for _, record := range records {
		m := removed[record.Server]
		switch record.Kind {
		case invariant.EndpointPublished:
			if record.Detail == invariant.EndpointReady {
				endRemoval(record.Server)
			} else if m == nil {
				removed[record.Server] = &removal{at: record.At}
				r.RemovedServers++
			}
		case invariant.AttemptReceived, invariant.LoadCommandReceived:
			if m != nil {
				m.lastReceived = record.At
			}
		}
	}
	for server := range removed {
		endRemoval(server)
	}
	if r.LateServers = len(delays); r.LateServers == 0 {
		return
	}
	slices.Sort(delays)
	r.MedianDelay = time.Duration(delays[r.LateServers/2]) * time.Microsecond
	r.MaxDelay = time.Duration(delays[r.LateServers-1]) * time.Microsecond
}

// String returns the result in one line.
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
		verdict = fmt.Sprintf("%d certificate changes; %s", r.CertificateChanges, verdict)
	}
	return fmt.Sprintf("%d servers removed, %d received requests or load commands after it: median delay %s, maximum %s; %d requests, %.3f succeeded, %d unanswered, %d client connections broken, %d streams; %s",
		r.RemovedServers, r.LateServers, r.MedianDelay, r.MaxDelay, r.Requests, r.SuccessRate, r.Unanswered, r.BrokenConnections, r.Streams, verdict)
}
