package kserve

import (
	"bytes"
	"errors"
	"fmt"
	"net/textproto"
	"strconv"

	"github.com/tidwall/gjson"
)

// InferRequest holds the parts of an inference request that a router needs.
type InferRequest struct {
	ID              string
	Timeout         int64  // microseconds; 0: not given
	IsRetry         bool   // the client marked the request as a retry
	HasAttemptCount bool   // the client counts its attempts: without IsRetry, this is known to be the first one
	IdempotencyKey  string // empty: none
}

// ParseInferRequest parses the parts of an inference request that a router needs. The error says what is malformed; its
// text may be shown to the client.
func ParseInferRequest(h textproto.MIMEHeader, body []byte) (InferRequest, error) {
	var req InferRequest
	head, err := jsonPart(h, body)
	if err != nil {
		return req, err
	}
	fields, err := parseMembers(head)
	if err != nil {
		return req, err
	}
	if id := fields["id"]; id.Exists() && id.Type != gjson.String {
		return req, errors.New("id is no string")
	}
	req.ID = fields["id"].Str
	if !fields["inputs"].IsArray() {
		return req, errors.New("inputs is no array")
	}
	if req.Timeout, err = parseTimeout(h, fields["parameters"]); err != nil {
		return req, err
	}
	if v := h.Get(AttemptHeader); v != "" {
		n, err := strconv.ParseInt(v, 10, 32)
		if err != nil || n < 1 {
			return req, fmt.Errorf("%s is no number of a try", AttemptHeader)
		}
		req.IsRetry, req.HasAttemptCount = n > 1, true
	}
	req.IdempotencyKey = h.Get(IdempotencyKeyHeader)
	return req, nil
}

// maxTimeout, in microseconds, is far longer than any deadline, and is exactly represented by a JSON number.
const maxTimeout = 1e12

// parseTimeout returns the shorter of the request parameter timeout and Envoy's timeout header, in microseconds; 0 means
// that neither is given.
func parseTimeout(h textproto.MIMEHeader, parameters gjson.Result) (timeout int64, err error) {
	if t := parameters.Get("timeout"); t.Exists() {
		if t.Type != gjson.Number || t.Num < 1 || t.Num > maxTimeout || t.Num != float64(int64(t.Num)) {
			return 0, errors.New("the parameter timeout is no count of microseconds")
		}
		timeout = int64(t.Num)
	}
	if v := h.Get(TimeoutHeader); v != "" {
		ms, err := strconv.ParseInt(v, 10, 32)
		if err != nil || ms < 0 {
			return timeout, fmt.Errorf("%s is no count of milliseconds", TimeoutHeader)
		}
		if ms > 0 && (timeout == 0 || ms*1000 < timeout) {
			timeout = ms * 1000
		}
	}
	return timeout, nil
}

// parseMembers returns the members of the request object that a router needs, in one pass. Tensors are skipped; the server
// checks whether they are well formed. A duplicate member is rejected, since the server might use the other one.
func parseMembers(head []byte) (map[string]gjson.Result, error) {
	trimmed := bytes.TrimSpace(head)
	if len(trimmed) < 2 || trimmed[0] != '{' || trimmed[len(trimmed)-1] != '}' {
		return nil, errors.New("the request is no JSON object")
	}
	fields := map[string]gjson.Result{}
	duplicate := false
	gjson.ParseBytes(trimmed).ForEach(func(key, value gjson.Result) bool {
		switch key.Str {
		case "id", "parameters", "inputs":
			_, known := fields[key.Str]
			duplicate = duplicate || known
			fields[key.Str] = value
		}
		return true
	})
	if duplicate {
		return nil, errors.New("id, parameters or inputs stands twice")
	}
	return fields, nil
}

// jsonPart returns the JSON part of a body, without the binary tensors that follow it.
func jsonPart(h textproto.MIMEHeader, body []byte) ([]byte, error) {
	v := h.Get(JSONLengthHeader)
	if v == "" {
		return body, nil
	}
	n, err := strconv.ParseUint(v, 10, 31)
	if err != nil || int(n) > len(body) {
		return nil, fmt.Errorf("%s is no length within the body", JSONLengthHeader)
	}
	return body[:n], nil
}

// ParseCacheStatus returns the response parameter "found", which says whether the model was loaded when the request
// arrived: warm, began, joined or load_failed; empty if it is not given.
func ParseCacheStatus(h textproto.MIMEHeader, body []byte) string {
	head, err := jsonPart(h, body)
	if err != nil {
		return ""
	}
	return gjson.GetBytes(head, "parameters.found").Str
}
