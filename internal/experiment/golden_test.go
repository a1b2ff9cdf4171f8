package experiment

import (
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"hollymast/internal/golden"
)

// Results that earlier builds stored are read, and written in the same form.
func TestStoredForm(t *testing.T) {
	result := &Result{}
	golden.Fill(result)
	golden.Check(t, "row-1.cbor", result, cbor.Marshal, cbor.Unmarshal)
	if missing := golden.UntaggedFields(reflect.TypeOf(result)); len(missing) > 0 {
		t.Errorf("stored under the name of a field: %q", missing)
	}
}
