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

// exchange sends an attempt on a connection and reads the response into the result.
func (s *callState) exchange(conn *rest.Client, attempt Attempt, result *attemptResult) {
	c := s.client
	body := s.call.Body
	if s.call.BodyFor != nil {
		body = s.call.BodyFor(attempt)
	}
	remainingMS := time.Until(s.deadline).Milliseconds()
	if remainingMS <= 0 { // the deadline passed while the body was made
		s.unregister(conn)
		c.release(result.Router, conn, closeConn) // not reused: it may have been aborted at the end of the call
		result.setNotSent("its time was up before it was sent")
		return
	}
	response, progress, err := conn.Do(s.request(attempt, body, remainingMS), s.deadline.Add(c.options.LateResponseTimeout))
	s.unregister(conn)
	if err != nil {
		// An exchange that was aborted locally, because the caller gave up or another attempt succeeded, says nothing about
		// the router.
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

// request returns an attempt's request. remainingMS is the time until the deadline in milliseconds.
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

// readResponse sets the result from a router's response.
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
	case response.Status >= http.StatusInternalServerError: // from the router, or from a proxy that promises nothing about execution
		r.Outcome, r.callErr.Kind = retry.Failed, RequestFailed
	default:
		r.Outcome = retry.Invalid
	}
}
