// Package kserve parses and formats messages of the Open Inference Protocol v2 (KServe v2) over REST, with the model
// repository and binary tensor extensions. It covers what a router needs: tensors are passed through as bytes.
package kserve

import "encoding/json"

// Header fields, in canonical form.
const (
	JSONLengthHeader     = "Inference-Header-Content-Length" // length in bytes of the JSON part before binary tensors
	TimeoutHeader        = "X-Envoy-Expected-Rq-Timeout-Ms"
	AttemptHeader        = "X-Envoy-Attempt-Count" // from 1
	IdempotencyKeyHeader = "Idempotency-Key"
	LoadMetricsHeader    = "Endpoint-Load-Metrics" // ORCA load report
)

// ErrorBody is the protocol's error object, with fields that hollymast's routers add.
type ErrorBody struct {
	Error      string `json:"error"`
	Outcome    string `json:"answer,omitempty"`         // "pushed back" (rejected) or "killed" (failed)
	Overload   string `json:"storm,omitempty"`          // the kind of overload, if that is the reason
	RetryAfter int64  `json:"retry_after_us,omitempty"` // suggested delay before a retry, in microseconds; 0: none
}

// JSON returns the object's JSON encoding.
func (e ErrorBody) JSON() []byte {
	b, _ := json.Marshal(e) // can't fail for strings and numbers
	return b
}

// Metadata is the response to ServerMetadata and ModelMetadata.
type Metadata struct {
	Name       string   `json:"name"`
	Version    string   `json:"version,omitempty"`
	Versions   []string `json:"versions,omitempty"`
	Extensions []string `json:"extensions,omitempty"`
	Platform   string   `json:"platform,omitempty"`
}

// IndexEntry describes one model in the response to RepositoryIndex.
type IndexEntry struct {
	Name    string `json:"name"`
	Version string `json:"version,omitempty"`
	State   string `json:"state,omitempty"` // READY, LOADING, UNAVAILABLE
	Reason  string `json:"reason,omitempty"`
}

// ParseIndex parses the response to RepositoryIndex. The error is the JSON decoder's.
func ParseIndex(body []byte) (list []IndexEntry, err error) {
	err = json.Unmarshal(body, &list)
	return list, err
}
