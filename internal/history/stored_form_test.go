package history

import (
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"hollymast/internal/golden"
)

// What routers in service have stored is read, and written in the same form.
func TestStoredForm(t *testing.T) {
	use := &Usage{}
	golden.Fill(use)
	golden.Check(t, "use-1.cbor", use, cbor.Marshal, cbor.Unmarshal)
	if missing := golden.Untagged(reflect.TypeOf(use)); len(missing) > 0 {
		t.Errorf("stored under the name of a field: %q", missing)
	}
}
