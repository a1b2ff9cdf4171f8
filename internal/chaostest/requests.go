package chaostest

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/tidwall/gjson"

	"hollymast/internal/invariant"
	"hollymast/internal/rest"
	"hollymast/kserve"
)

// lateResponseTimeout is how long clients keep reading after their deadline, so that late answers are logged.
const lateResponseTimeout = 300 * time.Millisecond

// retryPause is the pause after a connection couldn't be opened.
const retryPause = 50 * time.Millisecond

// response is the outcome of a request as its client sees it.
type response struct {
	answer           string        // one of the final answers of package invariant; empty: no answer
	notSent          bool          // the request certainly didn't reach a router
	mayHaveRun       bool          // the request may have run
	connectionBroken bool          // the connection ended before an answer, as when the router is killed
	retryAfter       time.Duration // of a rejection
}

// send sends the n-th request of a call to a router, with a timeout.
func (h *harness) send(ctx context.Context, c call, router, n int, timeout time.Duration) response {
	conn, err := h.pools[router].get(ctx)
	if err != nil {
		sleep(ctx, retryPause)
		return response{notSent: true}
	}
	record := h.requestRecord(c, router, n)
	record.Kind, record.Deadline = invariant.RequestSent, h.log.Now()+timeout.Microseconds()
	h.log.Add(record)
	res, progress, err := conn.Do(h.request(c, record, n, timeout), c.readDeadline(timeout))
	if err != nil {
		conn.Close()
		h.countBrokenConnection(err)
		var r response
		r, record.Kind = failedResponse(c, progress, err)
		h.log.Add(record)
		return r
	}
	if res.Close {
		conn.Close()
	} else {
		h.pools[router].put(conn)
	}
	if res.Status == http.StatusOK && gjson.GetBytes(res.Body, "id").Str != record.Request {
		h.recordError(fmt.Errorf("request %s received the answer to another request: %s", record.Request, res.Body))
	}
	r := parseResponse(res)
	record.Kind, record.Detail = invariant.ResponseReceived, r.answer
	h.log.Add(record)
	return r
}

// requestRecord returns the log record of the n-th request of a call, without its kind, deadline and detail.
func (h *harness) requestRecord(c call, router, n int) invariant.Record {
	return invariant.Record{Request: fmt.Sprintf("%d.%d", c.number, n), Effect: strconv.Itoa(c.number), Workload: c.workload.name, Router: router}
}

// readDeadline returns the time until which the client waits for an answer.
func (c *call) readDeadline(timeout time.Duration) time.Time {
	switch now := time.Now(); {
	case c.abandonAfter > 0:
		return now.Add(min(timeout, c.abandonAfter))
	case c.impatient:
		return now.Add(timeout)
	default:
		return now.Add(timeout + lateResponseTimeout)
	}
}

// request returns the n-th request of a call.
func (h *harness) request(c call, record invariant.Record, n int, timeout time.Duration) *rest.Request {
	header := rest.Header{"Host": {h.addresses[record.Router]}, "Content-Type": {"application/json"}, "X-Tenant": {c.tenant()}}
	if !c.omitRetryHeaders {
		header[kserve.AttemptHeader] = []string{strconv.Itoa(n)}
	}
	if c.workload.effect == effectIdempotentByKey || c.workload.effect == effectNonIdempotent && !c.omitRetryHeaders {
		header[kserve.IdempotencyKeyHeader] = []string{c.workload.keyPrefix() + strconv.Itoa(c.number)}
	}
	return &rest.Request{Method: http.MethodPost, Target: kserve.Call{Operation: kserve.Infer, Model: c.function}.Target(), Header: header,
		Body: requestBody(record, timeout)}
}

// requestBody returns the body of a request. The fake servers log its id and its effect.
func requestBody(record invariant.Record, timeout time.Duration) []byte {
	return fmt.Appendf(nil, `{"id":%q,"parameters":{"timeout":%d,"effect":%q},"inputs":[{"name":"x","shape":[2],"datatype":"FP32","data":[1,2]}]}`,
		record.Request, timeout.Microseconds(), record.Effect)
}

// failedResponse interprets an exchange that ended without an answer.
func failedResponse(c call, progress rest.Progress, err error) (response, invariant.Kind) {
	r := response{mayHaveRun: progress >= rest.FullyWritten}
	r.notSent = !r.mayHaveRun
	timedOut := errors.Is(err, rest.ErrTimeout)
	r.connectionBroken = r.mayHaveRun && !timedOut
	switch {
	case r.notSent:
		return r, invariant.RequestNotSent
	case timedOut && (c.impatient || c.abandonAfter > 0):
		return r, invariant.RequestAbandoned
	}
	return r, invariant.RequestTimedOut
}

// parseResponse interprets an answer.
func parseResponse(res *rest.Response) response {
	switch answer := gjson.GetBytes(res.Body, "answer").Str; {
	case res.Status == http.StatusOK:
		return response{answer: invariant.Succeeded}
	case answer == invariant.Rejected && res.Status == http.StatusServiceUnavailable:
		return response{answer: invariant.Rejected, retryAfter: time.Duration(gjson.GetBytes(res.Body, "retry_after_us").Int()) * time.Microsecond}
	case answer == invariant.Failed && res.Status == http.StatusGatewayTimeout:
		return response{answer: invariant.Failed, mayHaveRun: true}
	}
	return response{answer: invariant.NotAdmitted}
}
