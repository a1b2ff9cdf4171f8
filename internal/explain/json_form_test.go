package explain

import (
	"encoding/json"
	"testing"

	"hollymast/internal/golden"
)

// Scripts read this JSON, so its names must not change.
func TestJSONForm(t *testing.T) {
	golden.CheckType(t, "output-1.json", &Decision{}, json.Marshal, json.Unmarshal)
}
