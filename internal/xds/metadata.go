package xds

import (
	"fmt"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
)

// metadataKey is under which an endpoint's metadata tell what Envoy's own fields don't: born, its start as in RFC 3339.
const metadataKey = "hollymast"

// readBorn gives an endpoint's start in microseconds since 1970; 0 where it is not told.
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
