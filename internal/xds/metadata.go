package xds

import (
	"fmt"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
)

// metadataKey is the key of the endpoint metadata for which Envoy has no fields, such as "born", the server's start time in RFC 3339.
const metadataKey = "hollymast"

// parseStartedAt returns an endpoint's start time in microseconds since 1970; 0: not set.
func parseStartedAt(m *core.Metadata) (int64, error) {
	v := m.GetFilterMetadata()[metadataKey].GetFields()["born"]
	if v == nil {
		return 0, nil
	}
	at, err := time.Parse(time.RFC3339Nano, v.GetStringValue())
	if err != nil || at.UnixMicro() <= 0 {
		return 0, fmt.Errorf("metadata %s.born is no time as in 2026-07-01T06:30:00Z: %q", metadataKey, v.GetStringValue())
	}
	return at.UnixMicro(), nil
}
