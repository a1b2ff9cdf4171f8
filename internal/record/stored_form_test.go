package record

import (
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"hollymast/internal/core"
	"hollymast/internal/golden"
)

// What routers in service have recorded is read, and written in the same form: each kind of frame with all of its fields set, before
// compression.
func TestStoredForm(t *testing.T) {
	for name, value := range map[string]any{"header-2.cbor": &Header{}, "checkpoint-2.cbor": &core.Snapshot{}, "turns-2.cbor": &stepBatch{}} {
		golden.Fill(value)
		golden.Check(t, name, value, cbor.Marshal, decodeMode.Unmarshal)
		if missing := golden.Untagged(reflect.TypeOf(value)); len(missing) > 0 {
			t.Errorf("%s: stored under the name of a field: %q", name, missing)
		}
	}
}
