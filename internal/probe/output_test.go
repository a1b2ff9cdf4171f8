package probe

import (
	"encoding/json"
	"reflect"
	"testing"

	"hollymast/internal/golden"
)

// The JSON is an output format that scripts read, so its field names must not change.
func TestJSONForm(t *testing.T) {
	value := &ServerReport{}
	golden.Fill(value)
	golden.Check(t, "output-1.json", value, json.Marshal, json.Unmarshal)
	if missing := golden.UntaggedFields(reflect.TypeOf(value)); len(missing) > 0 {
		t.Errorf("fields without a JSON tag: %q", missing)
	}
}
