package gateway

import (
	"errors"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/rest"
	"hollymast/kserve"
)

// Conclude tells what a server's answer to an execution, or to an order, means to the module. The router and the probe
// read answers with this, so they cannot disagree.
func OutcomeOf(resp *rest.Response, order bool) control.Outcome {
	outcome := control.Outcome{Result: responseResult(resp, order), CacheStatus: cacheStatusOf(resp)}
	if l, ok := kserve.ReadLoad(resp.Header); ok {
		outcome.Report = &control.LoadReport{Utilization: l.Util, PendingLoads: l.Loads, PinnedMemory: l.Pinned}
	}
	return outcome
}

// resultOf names what a server's answer means. 429 and 503 promise that the job did not run, 404 that its function
// was not there; other refusals of what the client asked are the function's own answer and pass to the client.
func responseResult(resp *rest.Response, order bool) control.Result {
	switch {
	case resp.Status == 429 || resp.Status == 503:
		return control.Overloaded
	case resp.Status == 404:
		return control.NotLoaded
	case resp.Status >= 500 || resp.Status == 408 || order && resp.Status >= 300:
		return control.Failed
	}
	return control.Succeeded
}

func cacheStatusOf(resp *rest.Response) control.CacheStatus {
	switch kserve.Found(resp.Header, resp.Body) {
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

// Broken tells what a broken exchange means to the module, by how far it had got.
func BrokenExchangeResult(progress rest.Progress, err error) control.Result {
	why := attempt.ByPeer
	switch {
	case errors.Is(err, rest.ErrCertificateRejected):
		why = attempt.ByAuthentication
	case errors.Is(err, rest.ErrAborted):
		why = attempt.ByUs
	case errors.Is(err, rest.ErrTimeout):
		why = attempt.ByDeadline
	}
	if progress > rest.NothingWritten && why == attempt.ByPeer && rest.LocalFailure(err) {
		return control.Failed // may have run; says nothing of the server
	}
	return attempt.BrokenResult(progress > rest.NothingWritten, why)
}

// ResultName is a result in our words.
func ResultName(r control.Result) string { return resultNames[r] }
