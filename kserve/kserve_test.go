package kserve

import (
	"net/textproto"
	"strings"
	"testing"
)

func TestParseTarget(t *testing.T) {
	for target, want := range map[string]Call{
		"/v2/health/live":                {Operation: ServerLive},
		"/v2":                            {Operation: ServerMetadata},
		"/v2/models/m/ready":             {Operation: ModelReady, Model: "m"},
		"/v2/models/a%2Fb":               {Operation: ModelMetadata, Model: "a/b"},
		"/v2/models/m/versions/3":        {Operation: ModelMetadata, Model: "m", Version: "3"},
		"/v2/models/m/versions/3/ready":  {Operation: ModelReady, Model: "m", Version: "3"},
		"/v2/models/versions/infer?x=1":  {Operation: Infer, Model: "versions"},
		"/v2/models/m/versions/3/infer":  {Operation: Infer, Model: "m", Version: "3"},
		"/v2/repository/index":           {Operation: RepositoryIndex},
		"/v2/repository/models/m/load":   {Operation: RepositoryLoad, Model: "m"},
		"/v2/repository/models/m/unload": {Operation: RepositoryUnload, Model: "m"},
	} {
		method := "GET"
		if want.Operation == Infer || want.Operation >= RepositoryIndex {
			method = "POST"
		}
		got, err := ParseTarget(method, target)
		if err != nil || got != want {
			t.Errorf("%s: got %+v, %v", target, got, err)
		}
		if again, err := ParseTarget(method, got.Target()); err != nil || again != got {
			t.Errorf("%s: written as %s: %+v, %v", target, got.Target(), again, err)
		}
		if _, err := ParseTarget("PUT", target); err != ErrMethodNotAllowed {
			t.Errorf("PUT %s: got %v", target, err)
		}
	}
	for _, target := range []string{"", "/", "/v1/models/m", "/v2/models", "/v2/models//infer", "/v2/models/%zz/infer",
		"/v2/models/a%0d%0ab/infer", "/v2/models/m/versions", "/v2/models/m/infer/x", "/v2/models/" + strings.Repeat("m", 300)} {
		if c, err := ParseTarget("POST", target); err != ErrUnknownPath {
			t.Errorf("%q: got %+v, %v", target, c, err)
		}
	}
}

func TestParseInferRequest(t *testing.T) {
	h := textproto.MIMEHeader{JSONLengthHeader: {"55"}, TimeoutHeader: {"3"}, AttemptHeader: {"2"}, IdempotencyKeyHeader: {"k"}}
	body := `{"id":"a","parameters":{"timeout":5000},"inputs":[{}]} ` + "\x00\xff tensors"
	req, err := ParseInferRequest(h, []byte(body))
	if err != nil || req != (InferRequest{ID: "a", Timeout: 3000, IsRetry: true, HasAttemptCount: true, IdempotencyKey: "k"}) {
		t.Errorf("got %+v, %v", req, err)
	}
	for name, c := range map[string]struct {
		h    textproto.MIMEHeader
		body string
	}{
		"no JSON":           {nil, `{"inputs":[`},
		"empty":             {nil, ``},
		"an array":          {nil, `[]`},
		"no inputs":         {nil, `{"id":"a"}`},
		"id":                {nil, `{"id":3,"inputs":[]}`},
		"twice":             {nil, `{"inputs":[],"parameters":{},"parameters":{"timeout":5}}`},
		"negative timeout":  {nil, `{"parameters":{"timeout":-1},"inputs":[]}`},
		"fraction":          {nil, `{"parameters":{"timeout":1.5},"inputs":[]}`},
		"text as timeout":   {nil, `{"parameters":{"timeout":"5"},"inputs":[]}`},
		"length past body":  {textproto.MIMEHeader{JSONLengthHeader: {"99"}}, `{"inputs":[]}`},
		"signed length":     {textproto.MIMEHeader{JSONLengthHeader: {"-1"}}, `{"inputs":[]}`},
		"timeout in header": {textproto.MIMEHeader{TimeoutHeader: {"soon"}}, `{"inputs":[]}`},
		"try 0":             {textproto.MIMEHeader{AttemptHeader: {"0"}}, `{"inputs":[]}`},
	} {
		if req, err := ParseInferRequest(c.h, []byte(c.body)); err == nil {
			t.Errorf("%s: got %+v", name, req)
		}
	}
}

func TestLoadReports(t *testing.T) {
	l := LoadReport{Utilization: 0.25, PendingLoads: 3, PinnedMemory: 0.5}
	if got, ok := ParseLoadReport(textproto.MIMEHeader{LoadMetricsHeader: {l.String()}}); !ok || got != l {
		t.Errorf("got %+v, %t", got, ok)
	}
	if got, ok := ParseLoadReport(textproto.MIMEHeader{LoadMetricsHeader: {`{"cpu_utilization":0.5}`}}); !ok || got != (LoadReport{0.5, -1, -1}) {
		t.Errorf("got %+v, %t", got, ok)
	}
	if got, ok := ParseLoadReport(textproto.MIMEHeader{LoadMetricsHeader: {"TEXT cpu=1"}}); ok {
		t.Errorf("got %+v", got)
	}
}

func FuzzInfer(f *testing.F) {
	f.Add("10", []byte(`{"id":"a","inputs":[]}`))
	f.Add("", []byte(`{"id":"a","parameters":{"timeout":1e9},"inputs":[{"data":[1]}]}`))
	f.Fuzz(func(t *testing.T, length string, body []byte) {
		h := textproto.MIMEHeader{}
		if length != "" {
			h[JSONLengthHeader] = []string{length}
		}
		if req, err := ParseInferRequest(h, body); err == nil && req.Timeout < 0 {
			t.Fatalf("got %+v", req)
		}
		ParseCacheStatus(h, body)
		if n := ParseReplicaCount(body); n < -1 {
			t.Fatalf("got %d replicas", n)
		}
	})
}

func FuzzTarget(f *testing.F) {
	f.Add("POST", "/v2/models/a%2Fb/versions/1/infer?x")
	f.Fuzz(func(t *testing.T, method, target string) {
		c, err := ParseTarget(method, target)
		if err != nil {
			return
		}
		if again, err := ParseTarget(method, c.Target()); err != nil || again != c {
			t.Fatalf("%q: %+v is written as %q: %+v, %v", target, c, c.Target(), again, err)
		}
	})
}
