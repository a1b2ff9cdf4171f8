package chaostest

import (
	"encoding/json"
	"reflect"
	"testing"

	"hollymast/internal/golden"
)

// Scripts read this JSON, so its names must not change.
func TestJSONForm(t *testing.T) {
	for name, value := range map[string]any{"output-1.json": &SimulationResult{}, "day-1.json": &Result{}} {
		golden.Fill(value)
		golden.Check(t, name, value, json.Marshal, json.Unmarshal)
		if missing := golden.UntaggedFields(reflect.TypeOf(value)); len(missing) > 0 {
			t.Errorf("fields without a JSON tag: %q", missing)
		}
	}
}
