package chaostest

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/tidwall/gjson"

	"hollymast/internal/invariant"
	"hollymast/internal/rest"
	"hollymast/kserve"
)

// effect has one client get its effect, with further tries where its workload and the answers allow them; it tells
// whether it was finished within the start target.
func (p *harness) perform(ctx context.Context, c call) bool {
	if well, ok := p.performAs(ctx, c); ok {
		return well
	}
	const tries = 3
	begun := time.Now()
	router := c.router
	var first time.Time // of a try that may have run
	sticks := false     // only the router that was asked knows whether it may run again
	for n := 1; n <= tries || sticks; n++ {
		left := c.timeout - time.Since(begun)
		if left < 20*time.Millisecond || ctx.Err() != nil {
			return false
		}
		o := p.send(ctx, c, router, n, left)
		if sticks && !o.notSent {
			p.countRestartRetry(o.answer)
			return o.answer == invariant.Succeeded && time.Since(begun) <= c.workload.latencyObjective
		}
		if o.answer == invariant.Succeeded {
			return time.Since(begun) <= c.workload.latencyObjective
		}
		if o.mayHaveRun && first.IsZero() {
			first = o.sentAt
		}
		again := time.Duration(0)
		switch {
		case c.abandonAfter > 0:
			return false
		case o.notSent && sticks: // not yet back
		case o.notSent:
			router = (router + 1) % len(p.addresses)
		case o.connectionBroken && c.workload.effect == "run-once" && p.scenario.keepsRouterState():
			sticks, again = true, 50*time.Millisecond
		case o.answer == invariant.Rejected:
			again = o.retryAfter
		case o.answer == invariant.Failed, o.mayHaveRun:
			// Nothing is promised: only what may run twice is asked again, the rest as its window allows.
			if c.workload.effect == "run-once" || c.workload.scope == "zone" {
				return false
			}
			if c.workload.effect == "fingerprinted" && time.Since(first)+left > c.workload.window {
				return false
			}
			router = (router + 1) % len(p.addresses)
		default:
			return false
		}
		if c.impatient {
			again = 0
		}
		if sleep(ctx, again) != nil {
			return false
		}
	}
	return false
}

type response struct {
	answer           string
	notSent          bool // it was provably never asked
	mayHaveRun       bool
	connectionBroken bool // its connection broke: the router died, say
	sentAt           time.Time
	retryAfter       time.Duration
}

// try asks once.
func (p *harness) send(ctx context.Context, c call, router, n int, left time.Duration) response {
	rec := invariant.Record{Request: fmt.Sprintf("%d.%d", c.number, n), Effect: itoa(c.number), Workload: c.workload.name, Router: router}
	add := func(k invariant.Kind) { rec.Kind = k; p.log.Add(rec) }
	o := response{sentAt: time.Now()}
	x, err := p.pools[router].get(ctx)
	if err != nil {
		sleep(ctx, 50*time.Millisecond)
		o.notSent = true
		return o
	}
	q := &rest.Request{Method: "POST", Target: kserve.Call{Kind: kserve.Infer, Model: c.function}.Target(),
		Header: rest.Header{"Host": {p.addresses[router]}, "Content-Type": {"application/json"}, kserve.AttemptHeader: {itoa(n)},
			kserve.RepeatMark: {map[bool]string{true: nonIdempotentKeyPrefix, false: "effect-"}[c.workload.effect == "run-once"] + itoa(c.number)}},
		Body: fmt.Appendf(nil, `{"id":%q,"parameters":{"timeout":%d,"effect":%q},"inputs":[{"name":"x","shape":[2],"datatype":"FP32","data":[1,2]}]}`,
			rec.Request, left.Microseconds(), rec.Effect)}
	if c.workload.effect == "restartable" {
		delete(q.Header, kserve.RepeatMark)
	}
	q.Header["X-Tenant"] = []string{c.tenant()}
	if c.omitRetryHeaders {
		delete(q.Header, kserve.AttemptHeader)
		if c.workload.effect != "fingerprinted" {
			delete(q.Header, kserve.RepeatMark)
		}
	}
	rec.Deadline = p.log.Now() + left.Microseconds()
	add(invariant.RequestSent)
	deadline := time.Now().Add(left + 300*time.Millisecond) // beyond its time, so that a late answer is seen
	if c.impatient {
		deadline = time.Now().Add(left)
	}
	if c.abandonAfter > 0 {
		deadline = time.Now().Add(min(left, c.abandonAfter))
	}
	res, progress, err := x.Do(q, deadline)
	switch {
	case err != nil:
		x.Close()
		o.mayHaveRun = progress >= rest.WrittenWhole
		o.connectionBroken = o.mayHaveRun && !errors.Is(err, rest.ErrTimeout)
		p.countBrokenConnection(err)
		if o.notSent = !o.mayHaveRun; o.notSent {
			add(invariant.RequestNotSent)
		} else if errors.Is(err, rest.ErrTimeout) && (c.impatient || c.abandonAfter > 0) {
			add(invariant.RequestAbandoned)
		} else {
			add(invariant.RequestTimedOut)
		}
		return o
	case res.Close:
		x.Close()
	default:
		p.pools[router].put(x)
	}
	rec.Detail = invariant.NotAdmitted
	switch answer := gjson.GetBytes(res.Body, "answer").Str; {
	case res.Status == 200:
		rec.Detail = invariant.Succeeded
		if gjson.GetBytes(res.Body, "id").Str != rec.Request {
			p.recordError(fmt.Errorf("job %s got the answer of another: %s", rec.Request, res.Body))
		}
	case answer == invariant.Rejected && res.Status == 503:
		rec.Detail = invariant.Rejected
		o.retryAfter = time.Duration(gjson.GetBytes(res.Body, "retry_after_us").Int()) * time.Microsecond
	case answer == invariant.Failed && res.Status == 504:
		rec.Detail, o.mayHaveRun = invariant.Failed, true
	}
	o.answer = rec.Detail
	add(invariant.ResponseReceived)
	return o
}
