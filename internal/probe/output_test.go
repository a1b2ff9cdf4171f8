package probe

import (
	"encoding/json"
	"reflect"
	"testing"

	"hollymast/internal/golden"
)

// Scripts read this JSON: its names stay.
func TestJSONForm(t *testing.T) {
	value := &ServerReport{}
	golden.Fill(value)
	golden.Check(t, "output-1.json", value, json.Marshal, json.Unmarshal)
	if missing := golden.UntaggedFields(reflect.TypeOf(value)); len(missing) > 0 {
		t.Errorf("has the name of a field: %q", missing)
	}
}
