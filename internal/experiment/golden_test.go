package experiment

import (
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"hollymast/internal/golden"
)

// Rows that earlier builds stored are read, and written in the same form.
func TestStoredForm(t *testing.T) {
	row := &Result{}
	golden.Fill(row)
	golden.Check(t, "row-1.cbor", row, cbor.Marshal, cbor.Unmarshal)
	if missing := golden.Untagged(reflect.TypeOf(row)); len(missing) > 0 {
		t.Errorf("stored under the name of a field: %q", missing)
	}
}
