package gateway

import (
	"errors"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/netfail"
	"hollymast/internal/rest"
	"hollymast/kserve"
)

// OutcomeOf converts a server's response to an attempt into an outcome for the balancer. The router and the probe
// (internal/probe) share it, so that they interpret responses in the same way.
func OutcomeOf(resp *rest.Response) control.Outcome {
	outcome := control.Outcome{Result: attemptResult(resp), CacheStatus: cacheStatusOf(resp)}
	if load, ok := kserve.ParseLoadReport(resp.Header); ok {
		outcome.Report = &control.LoadReport{Utilization: load.Utilization, PendingLoads: load.PendingLoads, PinnedMemory: load.PinnedMemory}
	}
	return outcome
}

// attemptResult returns the result of an attempt. Status 429 or 503 guarantees that the request did not run, 404 that
// its function was not loaded. Any other 4xx status except 408 is the function's own answer, which goes to the client.
func attemptResult(resp *rest.Response) control.Result {
	switch {
	case resp.Status == 429 || resp.Status == 503:
		return control.Overloaded
	case resp.Status == 404:
		return control.NotLoaded
	case resp.Status >= 500 || resp.Status == 408:
		return control.Failed
	}
	return control.Succeeded
}

// loadResult returns the result of a load command: only a 2xx status is a success.
func loadResult(resp *rest.Response) control.Result {
	result := attemptResult(resp)
	if result == control.Succeeded && resp.Status >= 300 {
		return control.Failed
	}
	return result
}

// cacheStatusOf returns whether the function was loaded when the attempt arrived, as reported by the server.
func cacheStatusOf(resp *rest.Response) control.CacheStatus {
	switch kserve.ParseCacheStatus(resp.Header, resp.Body) {
	case "warm":
		return control.CacheHit
	case "began":
		return control.CacheMiss
	case "joined":
		return control.CacheLoading
	case "load_failed":
		return control.CacheLoadFailed
	}
	return control.CacheUnknown
}

// BrokenExchangeResult returns the result of an exchange that ended with an error. It depends on how far the exchange
// had progressed.
func BrokenExchangeResult(progress rest.Progress, err error) control.Result {
	reason := attempt.ClosedByPeer
	switch {
	case errors.Is(err, rest.ErrCertificateRejected):
		reason = attempt.CertificateRejected
	case errors.Is(err, rest.ErrAborted):
		reason = attempt.AbortedLocally
	case errors.Is(err, rest.ErrTimeout):
		reason = attempt.DeadlineExceeded
	}
	written := progress > rest.NothingWritten
	if written && reason == attempt.ClosedByPeer && netfail.IsLocal(err) {
		return control.Failed // the request may have run, but a local error says nothing about the server
	}
	return attempt.InterruptedResult(written, reason)
}

// ResultName returns the name of a result. It is a label value of hollymast_executions_total, which dashboards use.
func ResultName(result control.Result) string { return resultNames[result] }

// resultNames are the names of the results, indexed by control.Result.
var resultNames = [...]string{
	"finished", "errored", "full", "timed out", "no connection", "reset", "cancelled", "never sent", "missing",
}
