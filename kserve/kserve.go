// Package kserve reads and writes the messages of the Open Inference Protocol v2 (KServe v2) over REST, with the model
// repository and binary tensor extensions, as far as a router needs: tensors pass through as bytes.
package kserve

import "encoding/json"

// Header fields, in canonical form.
const (
	JSONLengthHeader     = "Inference-Header-Content-Length" // of the JSON part before binary tensors, in bytes
	TimeoutHeader        = "X-Envoy-Expected-Rq-Timeout-Ms"
	AttemptHeader        = "X-Envoy-Attempt-Count" // from 1
	IdempotencyKeyHeader = "Idempotency-Key"
	LoadMetricsHeader    = "Endpoint-Load-Metrics" // ORCA's
)

// ErrorBody is the protocol's error object, with what hollymast's routers add to it.
type ErrorBody struct {
	Error      string `json:"error"`
	Outcome    string `json:"answer,omitempty"`         // "pushed back" (rejected) or "killed" (failed)
	Overload   string `json:"storm,omitempty"`          // the kind of overload, where one is the reason
	RetryAfter int64  `json:"retry_after_us,omitempty"` // advice on when to retry, microseconds; 0: none
}

// JSON returns the object's JSON.
func (f ErrorBody) JSON() []byte {
	b, _ := json.Marshal(f) // plain strings and numbers: can't fail
	return b
}

// Metadata is the answer to ServerMetadata and ModelMetadata.
type Metadata struct {
	Name       string   `json:"name"`
	Version    string   `json:"version,omitempty"`
	Versions   []string `json:"versions,omitempty"`
	Extensions []string `json:"extensions,omitempty"`
	Platform   string   `json:"platform,omitempty"`
}

// IndexEntry is one model in the answer to RepositoryIndex.
type IndexEntry struct {
	Name    string `json:"name"`
	Version string `json:"version,omitempty"`
	State   string `json:"state,omitempty"` // READY, LOADING, UNAVAILABLE
	Reason  string `json:"reason,omitempty"`
}

// ParseIndex reads the answer to RepositoryIndex. The error is that of the JSON.
func ParseIndex(body []byte) (list []IndexEntry, err error) {
	err = json.Unmarshal(body, &list)
	return list, err
}
