package history

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"hollymast/internal/golden"
)

// What routers in service have stored is read, and written in the same form.
func TestStoredForm(t *testing.T) {
	golden.CheckType(t, "use-1.cbor", &Usage{}, cbor.Marshal, cbor.Unmarshal)
}
