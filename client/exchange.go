package client

import (
	"errors"
	"hollymast/control"
	"hollymast/internal/netfail"
	"hollymast/internal/rest"
	"hollymast/internal/retry"
	"hollymast/kserve"
	"strconv"
	"time"

	"github.com/tidwall/gjson"
)

// exchange sends a try on a connection and reads what came of it.
func (t *callState) exchange(x *rest.Client, told Try, e *attemptResult) {
	c := t.client
	address, body := told.Router, t.call.Body
	if t.call.BodyOf != nil {
		body = t.call.BodyOf(told)
	}
	left := time.Until(t.deadline).Milliseconds()
	if left <= 0 { // the body took what was left
		t.unregister(x)
		c.release(e.router, x, true) // the call's end may have broken it
		e.outcome, e.failed, e.local = retry.NotSent, &Failed{Kind: Unreached, Why: "its time was up before it was sent"}, true
		return
	}
	h := rest.Header{"Host": {address}, "Content-Type": {"application/json"}, kserve.RepeatMark: {told.Mark}, kserve.AttemptHeader: {strconv.Itoa(told.Number)},
		kserve.TimeoutHeader: {strconv.FormatInt(left, 10)}}
	if t.call.Header > 0 {
		h["Content-Type"] = []string{"application/octet-stream"}
		h[kserve.HeaderLength] = []string{strconv.Itoa(t.call.Header)}
	}
	if t.call.Tenant != "" {
		h["X-Tenant"] = []string{t.call.Tenant}
	}
	q := &rest.Request{Method: "POST", Target: kserve.Call{Kind: kserve.Infer, Model: t.call.Model, Version: t.call.Version}.Target(), Header: h, Body: body}
	p, progress, err := x.Do(q, t.deadline.Add(c.options.Late))
	t.unregister(x)
	if err != nil {
		if e.local = errors.Is(err, rest.ErrAborted) || netfail.IsLocal(err); e.local { // given up, by the caller or for another try's answer
			c.release(e.router, x, true)
		} else {
			c.discard(e.router, x)
		}
		e.outcome, e.failed = retry.Lost, &Failed{Kind: Unknown, Why: err.Error(), Err: err}
		if progress < rest.WrittenWhole || errors.Is(err, rest.ErrCertificateRejected) {
			e.outcome, e.failed.Kind = retry.NotSent, Unreached
		}
		return
	}
	c.release(e.router, x, p.Close)
	e.answer = Answer{Status: p.Status, Body: p.Body, Router: address}
	e.answer.Header, _ = strconv.Atoi(p.Header.Get(kserve.HeaderLength))
	said := gjson.GetManyBytes(p.Body, "error", "answer", "retry_after_us")
	e.failed = &Failed{Kind: Wrong, Status: p.Status, Why: said[0].Str}
	switch {
	case p.Status < 300:
		e.outcome, e.failed = retry.Succeeded, nil
	case p.Status == 503 && said[1].Str == string(PushedBack):
		e.outcome, e.failed.Kind = retry.Rejected, PushedBack
		e.advised = control.Micros(said[2].Int())
		e.failed.After = time.Duration(e.advised) * time.Microsecond
	case p.Status >= 500: // killed, or somebody on the way who promises nothing
		e.outcome, e.failed.Kind = retry.Failed, Killed
	default:
		e.outcome = retry.Invalid
	}
}
