package client

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/tidwall/gjson"

	"hollymast/control"
	"hollymast/internal/netfail"
	"hollymast/internal/rest"
	"hollymast/internal/retry"
	"hollymast/kserve"
)

const tenantHeader = "X-Tenant"

// exchange sends an attempt on a connection and reads its answer into the result.
func (s *callState) exchange(conn *rest.Client, attempt Attempt, result *attemptResult) {
	c := s.client
	body := s.call.Body
	if s.call.BodyFor != nil {
		body = s.call.BodyFor(attempt)
	}
	remainingMS := time.Until(s.deadline).Milliseconds()
	if remainingMS <= 0 { // making the body took what was left
		s.unregister(conn)
		c.release(result.Router, conn, closeConn) // the end of the call may have aborted it
		result.setNotSent("its time was up before it was sent")
		return
	}
	response, progress, err := conn.Do(s.request(attempt, body, remainingMS), s.deadline.Add(c.options.LateResponseTimeout))
	s.unregister(conn)
	if err != nil {
		// An exchange aborted by this side, by the caller or for another attempt's answer, says nothing of the router.
		result.localFailure = errors.Is(err, rest.ErrAborted) || netfail.IsLocal(err)
		if result.localFailure {
			c.release(result.Router, conn, closeConn)
		} else {
			c.discard(result.Router, conn)
		}
		result.Outcome, result.callErr = retry.Lost, &CallError{Kind: OutcomeUnknown, Reason: err.Error(), Err: err}
		if progress < rest.FullyWritten || errors.Is(err, rest.ErrCertificateRejected) {
			result.Outcome, result.callErr.Kind = retry.NotSent, NotSent
		}
		return
	}
	if response.Close {
		c.release(result.Router, conn, closeConn)
	} else {
		c.release(result.Router, conn, keepConn)
	}
	result.readResponse(response, attempt.Router)
}

// request returns an attempt's request. Left is the time to the deadline, in milliseconds.
func (s *callState) request(attempt Attempt, body []byte, remainingMS int64) *rest.Request {
	header := rest.Header{
		"Host":                      {attempt.Router},
		"Content-Type":              {"application/json"},
		kserve.IdempotencyKeyHeader: {attempt.IdempotencyKey},
		kserve.AttemptHeader:        {strconv.Itoa(attempt.Number)},
		kserve.TimeoutHeader:        {strconv.FormatInt(remainingMS, 10)},
	}
	if s.call.JSONLength > 0 {
		header["Content-Type"] = []string{"application/octet-stream"}
		header[kserve.JSONLengthHeader] = []string{strconv.Itoa(s.call.JSONLength)}
	}
	if s.call.Tenant != "" {
		header[tenantHeader] = []string{s.call.Tenant}
	}
	target := kserve.Call{Operation: kserve.Infer, Model: s.call.Model, Version: s.call.Version}.Target()
	return &rest.Request{Method: http.MethodPost, Target: target, Header: header, Body: body}
}

// readResponse sets what a router's response says.
func (r *attemptResult) readResponse(response *rest.Response, router string) {
	r.response = Response{Status: response.Status, Body: response.Body, Router: router}
	r.response.JSONLength, _ = strconv.Atoi(response.Header.Get(kserve.JSONLengthHeader))
	fields := gjson.GetManyBytes(response.Body, "error", "answer", "retry_after_us")
	reason, outcome, retryAfter := fields[0].Str, fields[1].Str, fields[2].Int()
	r.callErr = &CallError{Kind: InvalidRequest, Status: response.Status, Reason: reason}
	switch {
	case response.Status < http.StatusMultipleChoices:
		r.Outcome, r.callErr = retry.Succeeded, nil
	case response.Status == http.StatusServiceUnavailable && outcome == string(Rejected):
		r.Outcome, r.callErr.Kind = retry.Rejected, Rejected
		r.RetryAfter = control.Micros(retryAfter)
		r.callErr.RetryAfter = time.Duration(r.RetryAfter) * time.Microsecond
	case response.Status >= http.StatusInternalServerError: // the router's, or a proxy's that promises nothing
		r.Outcome, r.callErr.Kind = retry.Failed, RequestFailed
	default:
		r.Outcome = retry.Invalid
	}
}
