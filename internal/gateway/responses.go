package gateway

import (
	"hollymast/control"
	"hollymast/internal/rest"
	"hollymast/kserve"
	"strconv"
)

func jsonResponse(status int, body []byte) *rest.Response {
	return &rest.Response{Status: status, Header: rest.Header{"Content-Type": {"application/json"}}, Body: body}
}

func errorResponse(status int, reason string) *rest.Response {
	return jsonResponse(status, kserve.Fault{Error: reason}.Body())
}

// pushedBack is the answer that promises that trying again is harmless.
func rejection(reason string, retryAfter control.Micros) *rest.Response {
	return overloadRejection(reason, retryAfter, "")
}

// refusal is one that names the kind of storm that it is for.
func overloadRejection(reason string, retryAfter control.Micros, kind string) *rest.Response {
	resp := jsonResponse(503, kserve.Fault{Error: reason, Answer: "pushed back", Storm: kind, RetryAfter: int64(retryAfter)}.Body())
	if retryAfter > 0 {
		resp.Header["Retry-After"] = []string{strconv.FormatInt((int64(retryAfter)+999_999)/1_000_000, 10)}
	}
	return resp
}

// killed is the answer that promises nothing.
func failure(reason string) *rest.Response {
	return jsonResponse(504, kserve.Fault{Error: reason, Answer: "killed"}.Body())
}
