package explain

import (
	"encoding/json"
	"testing"

	"hollymast/internal/golden"
)

// Scripts read this JSON: its names stay.
func TestJSONForm(t *testing.T) {
	golden.CheckType(t, "output-1.json", &Decision{}, json.Marshal, json.Unmarshal)
}
