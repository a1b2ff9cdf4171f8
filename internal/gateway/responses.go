package gateway

import (
	"strconv"

	"hollymast/control"
	"hollymast/internal/rest"
	"hollymast/kserve"
)

// jsonResponse returns a response with a JSON body.
func jsonResponse(status int, body []byte) *rest.Response {
	return &rest.Response{Status: status, Header: rest.Header{"Content-Type": {"application/json"}}, Body: body}
}

// errorResponse returns an error response to a call that does not reach the core.
func errorResponse(status int, reason string) *rest.Response {
	return jsonResponse(status, kserve.ErrorBody{Error: reason}.JSON())
}

// rejection returns the response to a request that the client may retry after retryAfter.
func rejection(reason string, retryAfter control.Micros) *rest.Response {
	return overloadRejection(reason, retryAfter, "")
}

// overloadRejection returns a rejection that names the kind of overload.
func overloadRejection(reason string, retryAfter control.Micros, kind string) *rest.Response {
	body := kserve.ErrorBody{Error: reason, Outcome: "pushed back", Overload: kind, RetryAfter: int64(retryAfter)}
	resp := jsonResponse(503, body.JSON())
	if retryAfter > 0 {
		seconds := (int64(retryAfter) + 999_999) / 1_000_000 // rounded up
		resp.Header["Retry-After"] = []string{strconv.FormatInt(seconds, 10)}
	}
	return resp
}

// failure returns the response to a request that may have run and must not be retried.
func failure(reason string) *rest.Response {
	return jsonResponse(504, kserve.ErrorBody{Error: reason, Outcome: "killed"}.JSON())
}
