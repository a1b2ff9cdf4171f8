package modelcheck

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"hollymast/internal/golden"
)

// Stories and unfinished explorations that earlier builds stored are read, and written in the same form.
func TestStoredForm(t *testing.T) {
	story, unfinished := &Trace{}, &saved{}
	golden.Fill(story)
	golden.Fill(unfinished)
	golden.Check(t, "story-1.json", story, func(v any) ([]byte, error) { return v.(*Trace).Marshal() }, json.Unmarshal)
	golden.Check(t, "unfinished-1.cbor", unfinished, cbor.Marshal, cbor.Unmarshal)
	for _, value := range []any{story, unfinished} {
		if missing := golden.Untagged(reflect.TypeOf(value)); len(missing) > 0 {
			t.Errorf("%T: stored under the name of a field: %q", value, missing)
		}
	}
}
