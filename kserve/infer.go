package kserve

import (
	"bytes"
	"errors"
	"fmt"
	"net/textproto"
	"strconv"

	"github.com/tidwall/gjson"
)

// InferRequest is what a router reads of an inference request.
type InferRequest struct {
	ID              string
	Timeout         int64  // microseconds; 0: not given
	IsRetry         bool   // a retry of the client's
	HasAttemptCount bool   // the client counts its attempts, so that a first one is known to be one
	IdempotencyKey  string // the idempotency key; empty: none
}

// ParseInferRequest reads the parts of an inference request that matter to a router. The error says what is malformed; its text may
// be shown to the client.
func ParseInferRequest(h textproto.MIMEHeader, body []byte) (InferRequest, error) {
	var a InferRequest
	head, err := jsonPart(h, body)
	if err != nil {
		return a, err
	}
	fields, err := members(head)
	if err != nil {
		return a, err
	}
	if id := fields["id"]; id.Exists() && id.Type != gjson.String {
		return a, errors.New("id is no string")
	}
	a.ID = fields["id"].Str
	if !fields["inputs"].IsArray() {
		return a, errors.New("inputs is no array")
	}
	if a.Timeout, err = readTimeout(h, fields["parameters"]); err != nil {
		return a, err
	}
	if v := h.Get(AttemptHeader); v != "" {
		n, err := strconv.ParseInt(v, 10, 32)
		if err != nil || n < 1 {
			return a, fmt.Errorf("%s is no number of a try", AttemptHeader)
		}
		a.IsRetry, a.HasAttemptCount = n > 1, true
	}
	a.IdempotencyKey = h.Get(IdempotencyKeyHeader)
	return a, nil
}

// maxTimeout, in microseconds, is far beyond any deadline, and exact as a JSON number.
const maxTimeout = 1e12

// readTimeout returns the shorter one of the parameter timeout and Envoy's header, in microseconds; 0: neither is given.
func readTimeout(h textproto.MIMEHeader, parameters gjson.Result) (timeout int64, err error) {
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

// members walks once over the request's object. Tensors are skipped: whether they are well formed is for the server to say. A
// member that occurs twice is rejected: the server might take the other one.
func members(head []byte) (map[string]gjson.Result, error) {
	trimmed := bytes.TrimSpace(head)
	if len(trimmed) < 2 || trimmed[0] != '{' || trimmed[len(trimmed)-1] != '}' {
		return nil, errors.New("the request is no JSON object")
	}
	fields := map[string]gjson.Result{}
	twice := false
	gjson.ParseBytes(trimmed).ForEach(func(key, value gjson.Result) bool {
		switch key.Str {
		case "id", "parameters", "inputs":
			_, known := fields[key.Str]
			twice = twice || known
			fields[key.Str] = value
		}
		return true
	})
	if twice {
		return nil, errors.New("id, parameters or inputs stands twice")
	}
	return fields, nil
}

// jsonPart returns the JSON without the binary tensors behind it.
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

// ParseCacheStatus reads from an answer whether the model was loaded when the request came, the response parameter "found": warm, began,
// joined or load_failed; empty: not given.
func ParseCacheStatus(h textproto.MIMEHeader, body []byte) string {
	head, err := jsonPart(h, body)
	if err != nil {
		return ""
	}
	return gjson.GetBytes(head, "parameters.found").Str
}
