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
func Conclude(p *rest.Response, order bool) control.Outcome {
	o := control.Outcome{Result: resultOf(p, order), Found: foundOf(p)}
	if l, ok := kserve.ReadLoad(p.Header); ok {
		o.Report = &control.Report{Util: l.Util, Loads: l.Loads, Pinned: l.Pinned}
	}
	return o
}

// resultOf names what a server's answer means. 429 and 503 promise that the job did not run, 404 that its function
// was not there; other refusals of what the client asked are the function's own answer and pass to the client.
func resultOf(p *rest.Response, order bool) control.Result {
	switch {
	case p.Status == 429 || p.Status == 503:
		return control.Full
	case p.Status == 404:
		return control.Missing
	case p.Status >= 500 || p.Status == 408 || order && p.Status >= 300:
		return control.Errored
	}
	return control.Finished
}

func foundOf(p *rest.Response) control.Found {
	switch kserve.Found(p.Header, p.Body) {
	case "warm":
		return control.FoundWarm
	case "began":
		return control.BeganLoad
	case "joined":
		return control.JoinedLoad
	case "load_failed":
		return control.LoadFailed
	}
	return control.Untold
}

// Broken tells what a broken exchange means to the module, by how far it had got.
func Broken(progress rest.Progress, err error) control.Result {
	why := attempt.Lost
	switch {
	case errors.Is(err, rest.ErrRefused):
		why = attempt.Refused
	case errors.Is(err, rest.ErrAborted):
		why = attempt.Aborted
	case errors.Is(err, rest.ErrTimeout):
		why = attempt.Late
	}
	if progress > rest.None && why == attempt.Lost && rest.Ours(err) {
		return control.Errored // may have run; says nothing of the server
	}
	return attempt.Broken(progress > rest.None, why)
}

// ResultName is a result in our words.
func ResultName(r control.Result) string { return resultNames[r] }
