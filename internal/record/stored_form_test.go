package record

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"hollymast/control"
	"hollymast/internal/core"
	"hollymast/internal/golden"
)

// Recordings of earlier builds can be read, and are written in the same form. Checks each kind of frame with all fields set, before
// compression.
func TestStoredForm(t *testing.T) {
	golden.CheckType(t, "header-2.cbor", &Header{}, cbor.Marshal, decodeMode.Unmarshal)
	golden.CheckType(t, "checkpoint-2.cbor", &core.Snapshot{}, cbor.Marshal, decodeMode.Unmarshal)
	golden.CheckType(t, "capacity-2.cbor", &control.CapacityHistorySnapshot{}, cbor.Marshal, decodeMode.Unmarshal)
	golden.Check(t, "timeout-2.cbor", &control.Request{ID: 1, Timeout: 2}, cbor.Marshal, decodeMode.Unmarshal)
	golden.CheckType(t, "turns-2.cbor", &stepBatch{}, cbor.Marshal, decodeMode.Unmarshal)
}
