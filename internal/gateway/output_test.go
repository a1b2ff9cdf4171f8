package gateway

import (
	"encoding/json"
	"reflect"
	"testing"

	"hollymast/internal/golden"
)

// What /router/state tells is read by scripts: its names stay.
func TestJSONForm(t *testing.T) {
	view := &adminState{}
	golden.Fill(view)
	golden.Check(t, "output-1.json", view, json.Marshal, json.Unmarshal)
	if missing := golden.Untagged(reflect.TypeOf(view)); len(missing) > 0 {
		t.Errorf("told under the name of a field: %q", missing)
	}
}
