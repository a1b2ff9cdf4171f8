package kserve

import (
	"bytes"
	"errors"
	"fmt"
	"net/textproto"
	"strconv"

	"github.com/tidwall/gjson"
)

// Ask is what a router reads of an inference request.
type Ask struct {
	ID      string
	Timeout int64 // microseconds; 0: none told
	Repeat  bool  // the client asks again
	Counts  bool  // it counts its tries, so that a first one is known to be one
	Mark    string
}

// ReadInfer reads an inference request's parts that matter to a router. The error tells what is malformed; its text may
// be shown to the client.
func ReadInfer(h textproto.MIMEHeader, body []byte) (Ask, error) {
	var a Ask
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
	if t := fields["parameters"].Get("timeout"); t.Exists() {
		if t.Type != gjson.Number || t.Num < 1 || t.Num > 1e12 || t.Num != float64(int64(t.Num)) {
			return a, errors.New("the parameter timeout is no count of microseconds")
		}
		a.Timeout = int64(t.Num)
	}
	if v := h.Get(TimeoutHeader); v != "" {
		ms, err := strconv.ParseInt(v, 10, 32)
		if err != nil || ms < 0 {
			return a, fmt.Errorf("%s is no count of milliseconds", TimeoutHeader)
		}
		if ms > 0 && (a.Timeout == 0 || ms*1000 < a.Timeout) {
			a.Timeout = ms * 1000
		}
	}
	if v := h.Get(AttemptHeader); v != "" {
		n, err := strconv.ParseInt(v, 10, 32)
		if err != nil || n < 1 {
			return a, fmt.Errorf("%s is no number of a try", AttemptHeader)
		}
		a.Repeat, a.Counts = n > 1, true
	}
	a.Mark = h.Get(RepeatMark)
	return a, nil
}

// members walks once over the request's object. Tensors are stepped over: whether they are well formed is for the server
// to say. A member that stands twice could mean different things to us and to it.
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

// jsonPart cuts the JSON off the binary tensors behind it.
func jsonPart(h textproto.MIMEHeader, body []byte) ([]byte, error) {
	v := h.Get(HeaderLength)
	if v == "" {
		return body, nil
	}
	n, err := strconv.ParseUint(v, 10, 31)
	if err != nil || int(n) > len(body) {
		return nil, fmt.Errorf("%s is no length within the body", HeaderLength)
	}
	return body[:n], nil
}

// Found reads what an answer tells of the copy that it met, the response parameter "found": warm, began, joined or
// load_failed; empty where it tells nothing.
func Found(h textproto.MIMEHeader, body []byte) string {
	head, err := jsonPart(h, body)
	if err != nil {
		return ""
	}
	return gjson.GetBytes(head, "parameters.found").Str
}
