package platform

import (
	"fmt"

	"hollymast/control"
)

// How requests and attempts end: counted for the state log line and, at debug level, logged individually.

// attemptResult is a control.Result with the text used in the log.
type attemptResult control.Result

var attemptResultTexts = [...]string{
	control.Succeeded:       "succeeded",
	control.Failed:          "failed",
	control.Overloaded:      "server full",
	control.TimedOut:        "timed out",
	control.ConnectFailed:   "connect failed",
	control.ConnectionReset: "connection reset",
	control.Cancelled:       "cancelled",
	control.NotSent:         "not sent",
	control.NotLoaded:       "not loaded",
}

func (r attemptResult) String() string { return attemptResultTexts[r] }

// requestEnd is how a request ended.
type requestEnd uint8

// The ends of a request.
const (
	endServed requestEnd = iota
	endRejected
	endFailed
	endCancelled
)

var requestEndTexts = [...]string{
	endServed:    "served",
	endRejected:  "rejected",
	endFailed:    "failed",
	endCancelled: "cancelled by its client",
}

func (e requestEnd) String() string { return requestEndTexts[e] }

// The reasons of this package for ending a request, in addition to those of the balancer.
const (
	reasonStarting      control.Reason = "the router waits for discovery"
	reasonStopping      control.Reason = "the router is stopping"
	reasonDuplicate     control.Reason = "its id is in flight already"
	reasonRepeated      control.Reason = "an earlier request under its id may have run"
	reasonMemory        control.Reason = "its connection holds too much memory"
	reasonNotAccepted   control.Reason = "the core did not accept it"
	reasonTooManyOpen   control.Reason = "too many are open on its connection"
	reasonConnRejects   control.Reason = "its connection is over the limit, or fails all requests"
	reasonClientTooFast control.Reason = "its client sends faster than it is read"
	reasonInvalid       control.Reason = "it breaks the protocol"
	reasonClientLeft    control.Reason = "its client cancelled or closed"
	reasonServerAnswer  control.Reason = "a server answered"
	reasonNotGiven      control.Reason = "not given"
)

// requestIDFormat is the format of request ids in the log, the same as the one that clients send.
const requestIDFormat = "%016x"

// requestOutcome is how a request ended and why.
type requestOutcome struct {
	end    requestEnd
	reason control.Reason
}

func (o requestOutcome) String() string { return o.end.String() + ": " + string(o.reason) }

// recordRequestEnd counts the end of a request and logs it at debug level.
func (r *Router) recordRequestEnd(req *request, end requestEnd, reason control.Reason) {
	if reason == "" {
		reason = reasonNotGiven
	}
	r.requestEnds.add(requestOutcome{end, reason})
	event := r.log.Debug()
	if event == nil {
		return
	}
	event.Str("id", fmt.Sprintf(requestIDFormat, uint64(req.id))).Stringer("end", end).Str("reason", string(reason)).
		Int("attempts", len(req.attempts)).Int64("read_at", int64(req.readAt)).Msg("request ended")
}

// recordRetry counts a further attempt of a request by how the previous one ended.
func (r *Router) recordRetry(req *request) {
	if n := len(req.attempts); n > 0 {
		r.retries.add(req.attempts[n-1].result)
	}
}
