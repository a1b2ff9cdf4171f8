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
func (s *callState) exchange(conn *rest.Client, try Attempt, result *attemptResult) {
	c := s.client
	body := s.call.Body
	if s.call.BodyFor != nil {
		body = s.call.BodyFor(try)
	}
	left := time.Until(s.deadline).Milliseconds()
	if left <= 0 { // making the body took what was left
		s.unregister(conn)
		c.release(result.Router, conn, closeConn) // the end of the call may have aborted it
		result.notSent("its time was up before it was sent")
		return
	}
	response, progress, err := conn.Do(s.request(try, body, left), s.deadline.Add(c.options.LateResponseTimeout))
	s.unregister(conn)
	if err != nil {
		// An exchange aborted by this side, by the caller or for another attempt's answer, says nothing of the router.
		result.local = errors.Is(err, rest.ErrAborted) || netfail.IsLocal(err)
		if result.local {
			c.release(result.Router, conn, closeConn)
		} else {
			c.discard(result.Router, conn)
		}
		result.Outcome, result.failed = retry.Lost, &CallError{Kind: OutcomeUnknown, Reason: err.Error(), Err: err}
		if progress < rest.FullyWritten || errors.Is(err, rest.ErrCertificateRejected) {
			result.Outcome, result.failed.Kind = retry.NotSent, NotSent
		}
		return
	}
	if response.Close {
		c.release(result.Router, conn, closeConn)
	} else {
		c.release(result.Router, conn, keepConn)
	}
	result.read(response, try.Router)
}

// request returns an attempt's request. Left is the time to the deadline, in milliseconds.
func (s *callState) request(try Attempt, body []byte, left int64) *rest.Request {
	header := rest.Header{
		"Host":                      {try.Router},
		"Content-Type":              {"application/json"},
		kserve.IdempotencyKeyHeader: {try.IdempotencyKey},
		kserve.AttemptHeader:        {strconv.Itoa(try.Number)},
		kserve.TimeoutHeader:        {strconv.FormatInt(left, 10)},
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

// read sets what a router's response says.
func (r *attemptResult) read(response *rest.Response, router string) {
	r.answer = Response{Status: response.Status, Body: response.Body, Router: router}
	r.answer.JSONLength, _ = strconv.Atoi(response.Header.Get(kserve.JSONLengthHeader))
	fault := gjson.GetManyBytes(response.Body, "error", "answer", "retry_after_us")
	text, answer, retryAfter := fault[0].Str, fault[1].Str, fault[2].Int()
	r.failed = &CallError{Kind: InvalidRequest, Status: response.Status, Reason: text}
	switch {
	case response.Status < http.StatusMultipleChoices:
		r.Outcome, r.failed = retry.Succeeded, nil
	case response.Status == http.StatusServiceUnavailable && answer == string(Rejected):
		r.Outcome, r.failed.Kind = retry.Rejected, Rejected
		r.RetryAfter = control.Micros(retryAfter)
		r.failed.RetryAfter = time.Duration(r.RetryAfter) * time.Microsecond
	case response.Status >= http.StatusInternalServerError: // the router's, or a proxy's that promises nothing
		r.Outcome, r.failed.Kind = retry.Failed, RequestFailed
	default:
		r.Outcome = retry.Invalid
	}
}
