package history

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"hollymast/internal/golden"
)

// Rows stored by earlier builds can be read, and are written in the same form.
func TestStoredForm(t *testing.T) {
	golden.CheckType(t, "use-1.cbor", &Usage{}, cbor.Marshal, cbor.Unmarshal)
}
