package modelcheck

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"hollymast/internal/golden"
)

// Traces and unfinished explorations that earlier builds stored are read, and written in the same form.
func TestStoredForm(t *testing.T) {
	trace, unfinished := &Trace{}, &savedExploration{}
	golden.Fill(trace)
	golden.Fill(unfinished)
	golden.Check(t, "story-1.json", trace, func(v any) ([]byte, error) { return v.(*Trace).Marshal() }, json.Unmarshal)
	golden.Check(t, "unfinished-1.cbor", unfinished, cbor.Marshal, cbor.Unmarshal)
	for _, value := range []any{trace, unfinished} {
		if missing := golden.UntaggedFields(reflect.TypeOf(value)); len(missing) > 0 {
			t.Errorf("%T: stored under the name of a field: %q", value, missing)
		}
	}
}
