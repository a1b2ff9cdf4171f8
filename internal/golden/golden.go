// Package golden compares stored forms to files that an earlier build wrote. It guards against a field that is renamed without a tag of
// its old name, which would be read as zero without an error. It serves tests only.
package golden

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// writeVariable is the environment variable that has Check write its file. It is for new stored forms only: a file that an earlier build
// wrote stays as it is.
const writeVariable = "GOLDEN_WRITE"

// CheckType checks the stored form of a type: value, which points to a zero one, is filled and checked against the file testdata/name,
// and each of its fields must have its stored name in a tag.
func CheckType(t testing.TB, name string, value any, encode func(any) ([]byte, error), decode func([]byte, any) error) {
	t.Helper()
	Fill(value)
	Check(t, name, value, encode, decode)
	if missing := UntaggedFields(reflect.TypeOf(value)); len(missing) > 0 {
		t.Errorf("%s: stored under the name of a field: %q", name, missing)
	}
}

// Check checks a value against the file testdata/name: it must be encoded to the same bytes, and these must be decoded to the same value.
// Value is a pointer; decode gets one to a zero value.
func Check(t testing.TB, name string, value any, encode func(any) ([]byte, error), decode func([]byte, any) error) {
	t.Helper()
	path := filepath.Join("testdata", name)
	encoded, err := encode(value)
	if err != nil {
		t.Fatal(err)
	}
	if os.Getenv(writeVariable) != "" {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, encoded, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	stored, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(encoded, stored) {
		t.Errorf("%s: this build writes other bytes than those stored", path)
	}
	decoded := reflect.New(reflect.TypeOf(value).Elem())
	if err := decode(stored, decoded.Interface()); err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	if !reflect.DeepEqual(decoded.Interface(), value) {
		t.Errorf("%s: read as %+v, want %+v", path, decoded.Elem(), reflect.ValueOf(value).Elem())
	}
}
